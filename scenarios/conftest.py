"""The steps of the scenarios and the world that they share."""

import pytest

from scenarios.steps import conditions, faults, outcomes
from scenarios.world import World

STEPS = (conditions, faults, outcomes)


def pytest_configure(config):
    """Make the steps known to all features."""
    for steps in STEPS:
        config.pluginmanager.register(steps, steps.__name__)


@pytest.fixture
def world():
    """Give each scenario a world of its own and end it."""
    started = World()
    yield started
    started.close()
