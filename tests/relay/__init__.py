"""Tests of the relay host and its decisions."""
