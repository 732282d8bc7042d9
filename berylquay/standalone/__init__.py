"""Clients of the platform's services: the log, the membership list and the weight store."""
