"""Settings of the request path."""

from msgspec import Struct, field

from hillfield.holding import ByteBudget, build_budget
from hillfield.model import Address
from hillfield.proxy.dialects import (
    CallerDialect,
    HillfieldDialect,
    TargetDialect,
)


class ProxySettings(Struct, frozen=True):
    """Address and limits of the request path.

    Sizes are in bytes and times in seconds. Port 0 selects a free port. A
    request body up to `held_body` is buffered completely, so that it can be
    sent again; an answer body up to `held_answer` is buffered until it is
    complete. `answer_hold` bounds how long an answer of unknown length is
    buffered. `gate_port` is where the nodes beside the targets accept requests
    for them (None: targets are reached directly). If `keepalive_after` is set,
    a request not answered by then gets an interim answer as a keepalive; if
    `keepalive_within` is set, one is expected of the other end. On a
    connection on which nothing has arrived for `two_step_after`, a request is
    written in two steps: its head first, and the rest once the other end asks
    for it (None: never). Of the requests pipelined on one connection,
    `pipeline_depth` run concurrently: callers that pipeline send a few at
    once. The servers of a node share one `budget` of bytes held in memory.
    """

    address: Address
    node: str = 'hillfield'
    connection_limit: int = 4096
    head_limit: int = 16384
    url_limit: int = 8192
    body_limit: int = 1_000_000_000
    held_body: int = 65536
    held_answer: int = 65536
    answer_hold: float = 0.25
    answer_head_limit: int = 65536
    part_size: int = 65536
    head_timeout: float = 10
    idle_timeout: float = 60
    connect_timeout: float = 1
    pool_idle_timeout: float = 4
    pool_idle_limit: int = 32
    linger: float = 1
    drain_grace: float = 1
    drain_timeout: float = 120
    gate_port: int | None = None
    keepalive_after: float = 0
    keepalive_within: float = 0
    two_step_after: float | None = None
    pipeline_depth: int = 4
    budget: ByteBudget = field(default_factory=build_budget)
    callers: CallerDialect = CallerDialect()
    targets: TargetDialect = field(default_factory=HillfieldDialect)
