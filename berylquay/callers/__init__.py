"""HTTP front end: receives the callers' requests and sends the responses."""
