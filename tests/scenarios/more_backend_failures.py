"""Further scenarios of backend server failures; run by file name, outside CI."""

from pytest_bdd import scenarios

from tests.scenarios.test_backend_failures import *  # noqa: F403 (steps)

scenarios("../../test-data/scenarios/more_fates.feature")
