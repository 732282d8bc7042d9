"""Event loop, message bus, clock, TCP connections and HTTP clients."""
