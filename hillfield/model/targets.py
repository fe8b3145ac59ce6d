"""Targets as they announce themselves."""

from enum import StrEnum

from msgspec import Struct

from hillfield.model.addresses import Address


class TargetState(StrEnum):
    """Name the state that a target announces."""

    COLD = 'cold'
    READY = 'ready'
    SHEDDING = 'shedding'
    DRAINING = 'draining'


class Locality(Struct, frozen=True, order=True):
    """Say where something runs, from the widest part to the narrowest."""

    region: str
    failure_domain: str
    host: str


class TargetId(Struct, frozen=True, order=True):
    """Identify one incarnation; a restart changes `incarnation`."""

    service: str
    address: Address
    incarnation: int

    def __str__(self) -> str:
        """Return the form used in logs.

        >>> str(TargetId('settlement', Address('127.0.0.1', 80), 3))
        'settlement@127.0.0.1:80#3'
        """
        return f'{self.service}@{self.address}#{self.incarnation}'


class Target(Struct, frozen=True):
    """Describe one announced target.

    `slots` is how many requests it runs at once, `connection_limit` how many
    connections the whole fleet may open to it, `load` its own report of busy
    slots per slot (a hint that may lag or mislead; None: not reported).
    """

    id: TargetId
    locality: Locality
    slots: int
    connection_limit: int
    weight: float = 1
    state: TargetState = TargetState.READY
    load: float | None = None
