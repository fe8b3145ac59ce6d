"""The header that reports a target's free capacity on each answer."""

from functools import partial

from msgspec.structs import replace

from hillfield.clocks import monotonic
from hillfield.gate.gate import Gate
from hillfield.loadreports import write_capacity
from hillfield.proxy import ProxySettings


def add_capacity_header(settings: ProxySettings, gate: Gate) -> ProxySettings:
    """Return settings of a request path that reports the gate's capacity."""
    callers = replace(
        settings.callers, report_capacity=partial(_write_header, gate)
    )
    return replace(settings, callers=callers)


def _write_header(gate: Gate) -> str:
    """Return the header's value; empty: no target to send to."""
    if gate.closing:
        return ''
    report = gate.report_on_answer(monotonic())
    return '' if report is None else write_capacity(report)
