"""berylquay: serves language models and plain services on a fixed fleet of backend servers."""
