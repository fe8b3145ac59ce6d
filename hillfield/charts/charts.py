"""Read and follow state charts in TOML files."""

import tomllib
from collections.abc import Iterable, Mapping
from enum import StrEnum
from importlib.resources.abc import Traversable
from types import MappingProxyType
from typing import Any, Final, Generic, TypeVar

from expression import Error, Ok, Result
from msgspec import Struct

from hillfield.charts.transitions import (
    Actions,
    BoundTransition,
    ChartError,
    MissingTransition,
    States,
    Transition,
)

Triggers = TypeVar('Triggers', bound=StrEnum)
NO_ACTION: Final = 'none'


class BoundChart(Struct, Generic[States, Triggers, Actions], frozen=True):
    """Hold a chart in the caller's own types."""

    initial: States
    transitions: Mapping[
        tuple[States, Triggers], BoundTransition[States, Actions]
    ]

    def follow(
        self,
        state: States,
        trigger: Triggers,
    ) -> BoundTransition[States, Actions] | MissingTransition:
        """Return the transition for the trigger, or a report of its absence."""
        transition = self.transitions.get((state, trigger))
        return (
            MissingTransition(state, trigger)
            if transition is None
            else transition
        )


class Chart(Struct, frozen=True):
    """Hold a validated chart.

    >>> chart = parse_chart('''
    ... initial = 'closed'
    ... [states.closed]
    ... push = { to = 'open', action = 'ring' }
    ... [states.open]
    ... ''').ok
    >>> chart.follow('closed', 'push')
    Transition(state='open', action='ring')
    >>> chart.follow('open', 'push')
    MissingTransition(state='open', trigger='push')
    """

    initial: str
    states: frozenset[str]
    transitions: Mapping[tuple[str, str], Transition]

    def follow(
        self, state: str, trigger: str
    ) -> Transition | MissingTransition:
        """Return the transition for the trigger, or a report of its absence."""
        transition = self.transitions.get((state, trigger))
        return (
            MissingTransition(state, trigger)
            if transition is None
            else transition
        )

    def bind(
        self,
        states: type[States],
        triggers: type[Triggers],
        actions: type[Actions],
    ) -> BoundChart[States, Triggers, Actions]:
        """Return the chart in these types; raise ChartError where they differ.

        `actions` has a member `none` if any transition names no action.
        """
        _require_same('states', states, self.states)
        _require_same(
            'triggers', triggers, (key[1] for key in self.transitions)
        )
        _require_same(
            'actions',
            actions,
            (transition.action for transition in self.transitions.values()),
        )
        transitions = {
            (states(state), triggers(trigger)): BoundTransition(
                states(transition.state),
                actions(transition.action),
            )
            for (state, trigger), transition in self.transitions.items()
        }
        return BoundChart(states(self.initial), MappingProxyType(transitions))


def read_chart(package_file: Traversable) -> Chart:
    """Read a chart of the package; raise ChartError if it is invalid.

    Usual call: `read_chart(files('hillfield.detection') / 'health.toml')`.
    """
    chart = parse_chart(package_file.read_text(encoding='utf-8'))
    if chart.is_error():
        raise ChartError(f'{package_file.name}: {chart.error}')
    return chart.ok


def parse_chart(text: str) -> Result[Chart, str]:
    """Parse and check a chart.

    `initial` names the first state; each table `[states.NAME]` maps triggers
    to `{ to = STATE, action = NAME }`, the action being optional.
    """
    try:
        document = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        return Error(f'not TOML: {error}')
    initial = document.get('initial')
    tables = document.get('states', {})
    if not isinstance(initial, str):
        return Error('no initial state: write initial = "NAME"')
    chart = Chart(
        initial,
        frozenset(tables),
        MappingProxyType(_collect_transitions(tables)),
    )
    problem = _find_problem(chart)
    return Error(problem) if problem else Ok(chart)


def _collect_transitions(
    tables: Mapping[str, Mapping[str, Any]],
) -> dict[tuple[str, str], Transition]:
    return {
        (state, trigger): Transition(
            str(arc.get('to', state)),
            str(arc.get('action', NO_ACTION)),
        )
        for state, arcs in tables.items()
        for trigger, arc in arcs.items()
    }


def _find_problem(chart: Chart) -> str:
    named = {transition.state for transition in chart.transitions.values()} | {
        chart.initial
    }
    unknown = named - chart.states
    if unknown:
        return _list_names('unknown states', unknown)
    unreachable = chart.states - _find_reachable(chart)
    if unreachable:
        return _list_names('unreachable states', unreachable)
    return ''


def _find_reachable(chart: Chart) -> set[str]:
    reached = {chart.initial}
    size = 0
    while size < len(reached):
        size = len(reached)
        reached |= {
            transition.state
            for (state, _), transition in chart.transitions.items()
            if state in reached
        }
    return reached


def _require_same(
    what: str,
    members: type[StrEnum],
    names: Iterable[str],
) -> None:
    different = {member.value for member in members} ^ set(names)
    if different:
        raise ChartError(_list_names(f'{what} differ', different))


def _list_names(what: str, names: Iterable[str]) -> str:
    listed = ', '.join(sorted(names))
    return f'{what}: {listed}'
