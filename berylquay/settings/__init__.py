"""The settings file of one entry host, read and checked whole."""
