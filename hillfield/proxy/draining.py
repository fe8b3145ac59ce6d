"""Log entries of the drain of a server."""

from hillfield.events import EventCode, Occurrence
from hillfield.model import Address
from hillfield.proxy.context import ProxyContext


def record_drain(
    context: ProxyContext,
    address: Address,
    connections: int,
) -> None:
    """Record that a server stops listening, and what it still has."""
    requests = len(context.in_flight)
    detail = f'{address}: {connections} connections, {requests} requests'
    context.journal.record(
        Occurrence(EventCode.SERVER_DRAINING, detail=detail),
    )


def record_overrun(context: ProxyContext, seconds: float) -> None:
    """Record the requests that are ended after this many seconds of a drain."""
    requests = len(context.in_flight)
    if requests:
        detail = f'{requests} requests after {seconds:.1f} s'
        context.journal.record(
            Occurrence(EventCode.DRAIN_OVERRUN, detail=detail),
        )
