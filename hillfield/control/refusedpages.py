"""What operators read of requests that targets ended under, in JSON."""

from msgspec import Struct


class RefusedRequest(Struct, frozen=True):
    """Show a request under which targets have ended.

    `nodes` saw the ends, `last` is seconds since the latest of them, `wait`
    the seconds until it is tried again (None: not before it is lifted).
    """

    fingerprint: str
    refused: bool
    ends: int
    nodes: tuple[str, ...]
    last: float
    wait: float | None


class RefusedPage(Struct, frozen=True):
    """Show the requests under which targets have ended, as a node knows them."""

    node: str
    requests: tuple[RefusedRequest, ...]
