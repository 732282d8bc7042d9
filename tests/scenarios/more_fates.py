"""Further scenarios of backend servers that fail; run by name, outside CI."""

from pytest_bdd import scenarios

from tests.scenarios.test_fates import *  # noqa: F403 (steps)

scenarios("../../test-data/scenarios/more_fates.feature")
