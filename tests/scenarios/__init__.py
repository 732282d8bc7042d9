"""Scripted scenarios: feature files under test-data/scenarios, run on real processes."""
