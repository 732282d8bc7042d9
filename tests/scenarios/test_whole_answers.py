"""Scenarios of whole answers."""

from pytest_bdd import scenarios

scenarios("../../test-data/scenarios/whole_answers.feature")
