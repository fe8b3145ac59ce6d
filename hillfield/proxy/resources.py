"""Components that all attempts of a request share."""

from typing import Final

from msgspec import Struct
from tornado.httputil import HTTPHeaders

from hillfield.clocks import monotonic
from hillfield.events import EventCode, Journal, Occurrence
from hillfield.proxy.dialects import REQUEST_ID
from hillfield.proxy.pool import Pool
from hillfield.proxy.settings import ProxySettings
from hillfield.routing.ports import Dispatching
from hillfield.routing.requests import Send

# Characters shown of the request that a dropped answer names.
SHOWN_CHARACTERS: Final = 64


class AttemptResources(Struct, frozen=True):
    """Components that every attempt of a request uses."""

    pool: Pool
    settings: ProxySettings
    dispatching: Dispatching
    journal: Journal


def record_answer_head(
    resources: AttemptResources,
    send: Send,
    headers: HTTPHeaders,
) -> None:
    """Record the head of an attempt's answer, and the capacity it reports.

    The decision on the attempt then uses the capacity reported with it.
    """
    now = monotonic()
    resources.dispatching.record_head(now, send.attempt)
    report = resources.settings.targets.read_capacity(send.target, headers)
    if report is not None:
        resources.dispatching.adopt_report(now, report)


def record_stray_answer(
    resources: AttemptResources,
    send: Send,
    request: str,
    headers: HTTPHeaders,
) -> None:
    """Record that an answer was dropped, since it names another request."""
    named = headers.get(REQUEST_ID, '')[:SHOWN_CHARACTERS]
    resources.journal.record(
        Occurrence(
            EventCode.STRAY_ANSWER_DROPPED,
            service=send.target.service,
            target=str(send.target),
            request=request,
            detail=f'it names {named}',
        ),
    )
