"""Components that all attempts of a request share."""

from msgspec import Struct
from tornado.httputil import HTTPHeaders

from hillfield.clocks import monotonic
from hillfield.proxy.pool import Pool
from hillfield.proxy.settings import ProxySettings
from hillfield.routing.ports import Dispatching
from hillfield.routing.requests import Send


class AttemptResources(Struct, frozen=True):
    """Components that every attempt of a request uses."""

    pool: Pool
    settings: ProxySettings
    dispatching: Dispatching


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
