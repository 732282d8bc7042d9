"""Stand-ins for the systems that berylquay talks to, for tests and demonstrations only."""
