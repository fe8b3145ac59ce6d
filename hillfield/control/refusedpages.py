"""Pages on requests that crashed targets, as sent to operators in JSON."""

from msgspec import Struct


class RefusedRequest(Struct, frozen=True):
    """Show a request that crashed targets.

    `ends` counts the exits of targets, `nodes` observed them, `last` is the
    seconds since the latest one, `wait` the seconds until the request is tried
    again (None: not before an operator lifts the refusal).
    """

    fingerprint: str
    refused: bool
    ends: int
    nodes: tuple[str, ...]
    last: float
    wait: float | None


class RefusedPage(Struct, frozen=True):
    """Show the requests that crashed targets, as known to a node."""

    node: str
    requests: tuple[RefusedRequest, ...]
