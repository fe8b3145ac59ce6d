"""What all attempts of a request share."""

from msgspec import Struct
from tornado.httputil import HTTPHeaders

from hillfield.clocks import monotonic
from hillfield.proxy.pool import Pool
from hillfield.proxy.settings import ProxySettings
from hillfield.routing.ports import Dispatching
from hillfield.routing.requests import Send


class AttemptTools(Struct, frozen=True):
    """Hold what every attempt of a request works with."""

    pool: Pool
    settings: ProxySettings
    dispatching: Dispatching


def note_head(tools: AttemptTools, send: Send, headers: HTTPHeaders) -> None:
    """Note that the head of an attempt's answer has come, and what it tells.

    What becomes of the attempt is decided with the room that it tells.
    """
    now = monotonic()
    tools.dispatching.note_head(now, send.attempt)
    report = tools.settings.targets.read_room(send.target, headers)
    if report is not None:
        tools.dispatching.adopt_report(now, report)
