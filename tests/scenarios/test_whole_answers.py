"""Scenarios in which every caller receives the complete answer to its own request."""

from pytest_bdd import scenarios

scenarios("../../test-data/scenarios/whole_answers.feature")
