"""The relay: forwards opaque requests of callers to the backend servers listed by the platform."""
