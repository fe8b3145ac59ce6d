"""What a gate tells of its target's room on each of its answers."""

from functools import partial

from msgspec.structs import replace

from hillfield.clocks import monotonic
from hillfield.gate.gate import Gate
from hillfield.loadreports import write_room
from hillfield.proxy import ProxySettings


def add_room(settings: ProxySettings, gate: Gate) -> ProxySettings:
    """Return the settings of a request path that tells of a gate's room."""
    callers = replace(settings.callers, tell_room=partial(_tell, gate))
    return replace(settings, callers=callers)


def _tell(gate: Gate) -> str:
    """Return the header's text; empty: there is no target to be used."""
    if gate.closing:
        return ''
    report = gate.report_on_answer(monotonic())
    return '' if report is None else write_room(report)
