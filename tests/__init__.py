"""Tests of berylquay."""
