"""Tests of the scaling of pools."""
