"""At most once: stands between the callers and dispatch for calls that may not be repeated."""
