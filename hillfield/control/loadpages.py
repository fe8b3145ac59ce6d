"""What operators read of a service's load, in JSON."""

from msgspec import Struct


class DomainLoad(Struct, frozen=True):
    """Show the targets of one failure domain, as their gates have told.

    `told` counts the targets whose gates have told of their room, `slots`,
    `free` and `waiting` are summed over them, `held` counts those that hold
    usual work back, `age` is the seconds since the oldest of these reports,
    `limited` counts the targets that name a limit, `rate` is the sum of their
    limits in requests a second.
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
    """Show what one node knows of a service's capacity, and asks of it.

    `waiting` requests wait at this node, `in_flight` are at targets;
    `admitted`, `refused`, `retries` and `unknown` count since it started,
    `silent` counts the targets that it uses and has heard nothing of.
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
    """Show the services that a node's callers ask for."""

    node: str
    services: tuple[ServiceLoad, ...]
