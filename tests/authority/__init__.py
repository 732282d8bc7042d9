"""Tests of authority over engines."""
