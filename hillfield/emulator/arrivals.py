"""Arrivals of an open-loop load, drawn from a seed."""

import random
from collections.abc import Iterator

from msgspec import Struct

from hillfield.emulator.caller_settings import CallerSettings, CallKind
from hillfield.model import Address


class Arrival(Struct, frozen=True):
    """Say when which request goes where; `offset` is seconds from start."""

    offset: float
    request: str
    node: Address
    kind: CallKind


def draw_arrivals(settings: CallerSettings) -> Iterator[Arrival]:
    """Yield a Poisson process of requests, the same for the same seed.

    >>> from hillfield.model import Address
    >>> kind = CallKind('settlement', 'GET', '/', True)
    >>> node = Address('127.0.0.1', 80)
    >>> settings = CallerSettings((node,), (kind,), rate=10, seconds=1)
    >>> [round(each.offset, 2) for each in draw_arrivals(settings)][:3]
    [0.01, 0.04, 0.11]
    """
    source = random.Random(settings.seed)
    offset = source.expovariate(settings.rate)
    shares = [kind.share for kind in settings.kinds]
    for number in range(settings.maximum_calls):
        if offset > settings.seconds:
            return
        kind = source.choices(settings.kinds, shares)[0]
        name = f'{settings.prefix}-{settings.seed}-{number}'
        yield Arrival(offset, name, source.choice(settings.nodes), kind)
        offset += source.expovariate(settings.rate)
