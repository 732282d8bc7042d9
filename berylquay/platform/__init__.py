"""Wire names, formats and calls of the users' platform, decoded into the project's own types."""
