"""The operator's configuration as it lies in the platform's store."""

from msgspec import Struct, field


class Match(Struct, frozen=True):
    """Say which paths a rule is for."""

    prefix: str


class Part(Struct, frozen=True):
    """Hold one part of a split."""

    service: str
    weight: float


class Action(Struct, frozen=True, rename='camel'):
    """Say where a rule's requests go: one service, or a split."""

    service: str = ''
    traffic_split: tuple[Part, ...] = ()
    timeout: float = field(name='timeoutS', default=0)
    max_attempts: int = 1


class Rule(Struct, frozen=True):
    """Hold one rule of a host."""

    name: str
    kind: str
    match: Match
    action: Action
    aim: float = field(name='targetLatencyS', default=0)
    priority: int = 0
    public: bool = False


class Listener(Struct, frozen=True):
    """Hold the rules of one host."""

    host: str
    rules: tuple[Rule, ...] = ()


class Limits(Struct, frozen=True, rename='camel'):
    """Bound what callers send."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout: float = field(name='headerTimeoutS')
    idle_timeout: float = field(name='idleTimeoutS')


class Tenant(Struct, frozen=True, rename='camel'):
    """Hold a client account: the keys of its callers and its limit."""

    name: str
    api_keys: tuple[str, ...] = ()
    priority: int = 0
    rate: float = field(name='ratePerS', default=0)
    burst: float = 0


class Configuration(Struct, frozen=True):
    """Hold one version of the operator's configuration."""

    version: int
    listeners: tuple[Listener, ...]
    limits: Limits | None = None
    tenants: tuple[Tenant, ...] | None = None
