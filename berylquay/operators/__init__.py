"""The operators' gRPC service, which reads and changes deployments."""
