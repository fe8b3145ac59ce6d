"""Settings of the emulators as given on the command line."""

import tomllib
from typing import Any

import msgspec
from expression import Error, Ok, Result
from msgspec.structs import asdict, fields, replace

from hillfield.emulator.behaviour import Behaviour, parse_behaviour
from hillfield.emulator.caller_settings import CallerSettings
from hillfield.emulator.target_settings import ServiceTime, TargetSettings
from hillfield.model import parse_address

Table = dict[str, Any]


class TargetGiven(msgspec.Struct, frozen=True):
    """Hold the options of one emulated target as texts."""

    service: str
    listen: str
    control: str
    slots: int
    more: tuple[str, ...]


def build_target(
    given: TargetGiven,
    behaviour: str,
) -> Result[TargetSettings, str]:
    """Return the settings, or what to mend on the command line.

    >>> given = TargetGiven('s', '127.0.0.1:0', '', 4, ('median=0.5',))
    >>> build_target(given, '{}').ok.timing.median
    0.5
    >>> build_target(given, '{"slwo": 2}').error
    "--behaviour: unknown fields: ['slwo']"
    """
    parsed = parse_behaviour(behaviour.encode())
    if parsed.is_error():
        return Error(f'--behaviour: {parsed.error}')
    return _build(given).map(_Behave(parsed.ok))


def parse_load(text: str) -> Result[CallerSettings, str]:
    """Read a caller's load from TOML; nodes are written as `ip:port`.

    >>> parse_load('nodes = ["here:80"]').error
    "'here' is not an IP number; write one such as 127.0.0.1:8080"
    """
    try:
        table = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        return Error(f'not valid TOML: {error}')
    return _read_nodes(table).bind(_convert_load)


def _read_nodes(table: Table) -> Result[Table, str]:
    nodes = []
    for text in table.get('nodes', ()):
        node = parse_address(str(text))
        if node.is_error():
            return Error(node.error)
        nodes.append(asdict(node.ok))
    return Ok({**table, 'nodes': nodes})


class _Behave:
    def __init__(self, behaviour: Behaviour) -> None:
        self._behaviour = behaviour

    def __call__(self, settings: TargetSettings) -> TargetSettings:
        return replace(settings, behaviour=self._behaviour)


def _build(given: TargetGiven) -> Result[TargetSettings, str]:
    table: Table = {'service': given.service, 'slots': given.slots}
    for name, text in (('listen', given.listen), ('control', given.control)):
        if not text:
            continue
        address = parse_address(text)
        if address.is_error():
            return Error(f'--{name}: {address.error}')
        table[name] = asdict(address.ok)
    return _add_more(table, given.more).bind(_convert_target)


def _add_more(
    table: Table,
    more: tuple[str, ...],
) -> Result[Table, str]:
    timing: dict[str, str] = {}
    known = {field.name for field in fields(TargetSettings)} - table.keys()
    timed = {field.name for field in fields(ServiceTime)}
    for pair in more:
        name, _, text = pair.partition('=')
        if name not in known | timed:
            names = ', '.join(sorted(known | timed))
            return Error(f'--set: {name!r} is not known; write one of {names}')
        place = timing if name in timed else table
        place[name] = text
    return Ok({**table, 'timing': timing})


def _convert_load(table: Table) -> Result[CallerSettings, str]:
    return _convert(table, CallerSettings)


def _convert_target(table: Table) -> Result[TargetSettings, str]:
    return _convert(table, TargetSettings)


def _convert(table: Table, kind: type[Any]) -> Result[Any, str]:
    try:
        return Ok(msgspec.convert(table, kind, strict=False))
    except msgspec.ValidationError as error:
        return Error(str(error))
