"""The relay: serves opaque requests of callers on backend servers that the platform lists."""
