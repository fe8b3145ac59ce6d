"""What an emulated target does at the moment, well or sick."""

from typing import Final

import msgspec
from expression import Error, Ok, Result
from msgspec.structs import fields, replace

from hillfield.model import TargetState

HALVES: Final = 2


class Behaviour(msgspec.Struct, frozen=True):
    """Say how a target serves, and what it claims about itself.

    `slow` multiplies the time of service. `stall`, `wrong`, `truncate` and
    `reset` are probabilities per request. `refuse` closes the listening
    socket. A `deaf` target reads nothing that is sent to it, a `mute` one
    runs requests and its answers are lost; with `only_for` both hold just
    for requests whose `Via` header or source address contains that text
    (a bad path instead of a bad target). `flap` is the period in seconds in
    which the target is sick for the first half (0: steady). `healthy` is
    what `/health` claims (None: the truth), `load` the load it claims
    (None: the truth), `state` the state it announces, `silent` that it
    announces nothing at all.
    """

    slow: float = 1
    stall: float = 0
    wrong: float = 0
    wrong_status: int = 500
    truncate: float = 0
    reset: float = 0
    refuse: bool = False
    deaf: bool = False
    mute: bool = False
    only_for: str = ''
    flap: float = 0
    healthy: bool | None = True
    load: float | None = None
    state: TargetState = TargetState.READY
    silent: bool = False


WELL: Final = Behaviour()
_SERVING: Final = frozenset(
    (
        'slow',
        'stall',
        'wrong',
        'truncate',
        'reset',
        'refuse',
        'deaf',
        'mute',
    )
)


def show_now(behaviour: Behaviour, age: float) -> Behaviour:
    """Return what holds `age` seconds after the behaviour was set.

    >>> show_now(Behaviour(slow=5, flap=2), 0.5).slow
    5
    >>> show_now(Behaviour(slow=5, flap=2), 1.5).slow
    1
    """
    if not behaviour.flap or age % behaviour.flap < behaviour.flap / HALVES:
        return behaviour
    return replace(
        behaviour,
        **{name: getattr(WELL, name) for name in _SERVING},
    )


def is_sick(behaviour: Behaviour) -> bool:
    """Tell whether requests suffer under this behaviour.

    >>> is_sick(Behaviour(wrong=0.2)), is_sick(Behaviour(load=0))
    (True, False)
    """
    return any(
        getattr(behaviour, name) != getattr(WELL, name) for name in _SERVING
    )


def parse_behaviour(payload: bytes) -> Result[Behaviour, str]:
    """Read a behaviour from JSON; unknown fields are refused."""
    try:
        given = msgspec.json.decode(payload, type=dict[str, object])
    except msgspec.DecodeError as error:
        return Error(f'not a JSON object: {error}')
    unknown = given.keys() - {field.name for field in fields(Behaviour)}
    if unknown:
        return Error(f'unknown fields: {sorted(unknown)}')
    try:
        return Ok(msgspec.convert(given, Behaviour))
    except msgspec.ValidationError as error:
        return Error(str(error))
