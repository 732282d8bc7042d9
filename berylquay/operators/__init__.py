"""The operators' side: gRPC calls that read and change deployments."""
