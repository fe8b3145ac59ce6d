"""Test reading and following charts."""

from enum import StrEnum

import pytest

from hillfield.charts import (
    BoundTransition,
    ChartError,
    MissingTransition,
    parse_chart,
    read_chart,
)

DOOR = """
initial = 'closed'
[states.closed]
push = { to = 'open', action = 'ring' }
[states.open]
pull = { to = 'closed' }
"""


class DoorState(StrEnum):
    CLOSED = 'closed'
    OPEN = 'open'


class DoorTrigger(StrEnum):
    PUSH = 'push'
    PULL = 'pull'


class DoorAction(StrEnum):
    RING = 'ring'
    NONE = 'none'


def test_bound_chart_uses_the_types_of_the_caller():
    chart = parse_chart(DOOR).ok.bind(DoorState, DoorTrigger, DoorAction)
    step = chart.follow(chart.initial, DoorTrigger.PUSH)
    assert step == BoundTransition(DoorState.OPEN, DoorAction.RING)
    refusal = chart.follow(chart.initial, DoorTrigger.PULL)
    assert refusal == MissingTransition('closed', 'pull')


@pytest.mark.parametrize(
    ('text', 'problem'),
    [
        ('states = [', 'not TOML'),
        ('[states.closed]', 'no initial state'),
        (DOOR.replace("to = 'open'", "to = 'ajar'"), 'unknown states: ajar'),
        (f'{DOOR}\n[states.lost]', 'unreachable states: lost'),
    ],
)
def test_invalid_charts_are_refused(text, problem, tmp_path):
    assert problem in parse_chart(text).error
    chart_file = tmp_path / 'door.toml'
    chart_file.write_text(text)
    with pytest.raises(ChartError, match=f'door.toml: {problem}'):
        read_chart(chart_file)


def test_types_that_differ_from_the_chart_are_refused():
    chart = parse_chart(DOOR).ok
    with pytest.raises(
        ChartError, match='triggers differ: none, pull, push, ring'
    ):
        chart.bind(DoorState, DoorAction, DoorAction)
