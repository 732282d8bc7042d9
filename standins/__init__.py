"""Stand-ins for the systems around berylquay, for tests and demonstrations only."""
