"""Pages on the load of services, as sent to operators in JSON."""

from msgspec import Struct


class DomainLoad(Struct, frozen=True):
    """Show the targets of one failure domain, as reported by their gates.

    `told` counts the targets whose gates have reported their capacity;
    `slots`, `free` and `waiting` are sums over them, `held` counts those from
    which usual work is withheld, `age` is the seconds since the oldest of
    these reports, `limited` counts the targets that name a rate limit, `rate`
    is the sum of their limits in requests a second.
    """

    domain: str
    told: int
    slots: int
    free: int
    waiting: int
    held: int
    age: float
    limited: int = 0
    rate: float = 0


class ServiceLoad(Struct, frozen=True):
    """Show the capacity of a service and its load from one node.

    `waiting` requests wait at this node, `in_flight` are at targets;
    `admitted`, `refused`, `retries` and `unknown` count since it started,
    `silent` counts the targets that it uses and has no report of.
    """

    service: str
    waiting: int
    in_flight: int
    admitted: int
    refused: int
    retries: int
    unknown: int
    silent: int
    domains: tuple[DomainLoad, ...]


class LoadPage(Struct, frozen=True):
    """Show the services that a node's callers have requested."""

    node: str
    services: tuple[ServiceLoad, ...]
