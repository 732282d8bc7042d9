"""Readers of settings and deployment files, which report all errors in a file together."""
