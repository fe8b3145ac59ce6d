"""Settings of the request path."""

from msgspec import Struct, field

from hillfield.holding import ByteBudget, make_budget
from hillfield.model import Address
from hillfield.proxy.dialects import CallerDialect, OwnDialect, TargetDialect


class ProxySettings(Struct, frozen=True):
    """Say where callers are accepted and what bounds each of them.

    Sizes are in bytes and times in seconds. Port 0 takes a free port. A
    request body up to `held_body` is held whole, so that it can be sent
    again; an answer body up to `held_answer` is held until it is whole.
    `answer_hold` bounds how long an answer of unknown length is held,
    `gate_port` is where the nodes beside the targets take requests for them
    (None: targets are reached directly). Where `sign_after` is set, a request
    that is not answered by then gets an interim answer as a sign of life;
    where `sign_within` is set, one is expected of the other end. A connection
    on which nothing has come for `hand_over_after` is doubtful: the head of a
    request goes ahead of it there, and the rest follows when the other end has
    asked for it (None: never). Of the requests of one connection,
    `pipeline_depth` run side by side: callers that send further ones before the
    first is answered send a few at once. The servers of a node share one
    `budget` of bytes held.
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
    sign_after: float = 0
    sign_within: float = 0
    hand_over_after: float | None = None
    pipeline_depth: int = 4
    budget: ByteBudget = field(default_factory=make_budget)
    callers: CallerDialect = CallerDialect()
    targets: TargetDialect = field(default_factory=OwnDialect)
