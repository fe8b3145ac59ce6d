"""Callers that try again at another node when that is safe."""

import time
from asyncio import create_task, gather, sleep
from typing import Final

from msgspec.structs import replace

from hillfield.demo.layout import Layout
from hillfield.demo.traffic import Example
from hillfield.emulator import (
    Call,
    Caller,
    CallerSettings,
    Credentials,
    Ending,
)
from hillfield.emulator.arrivals import Arrival, draw_arrivals
from hillfield.model import Address

# Bounds the traffic when a scene hangs; its end ends it sooner.
LONGEST_TRAFFIC: Final = 240.0
CALLER_TIMEOUT: Final = 12.0
# Times the example's rates, so that each node has requests in flight.
BUSIER: Final = 1.5
MOST_TRIES: Final = 4
AGAIN: Final = frozenset((Ending.NOT_RUN, Ending.NO_CONNECTION))
# Separates a request from the number of the try in a try's name.
TRY: Final = '.try-'


class InsistingCaller:
    """Send an open-loop load; try not-run requests at the next node.

    Each try has a name of its own, so that what a node said of one try is
    judged by what ran of that try.
    """

    def __init__(self, settings: CallerSettings) -> None:
        """Prepare; `run` sends."""
        self._settings = settings
        self._caller = Caller(settings)
        self._ending = False

    async def run(self) -> tuple[Call, ...]:
        """Send until `end` and return all tries."""
        start = time.monotonic()
        sent = []
        arrivals = draw_arrivals(self._settings)
        arrival = next(arrivals, None)
        while arrival and not self._ending:
            await sleep(start + arrival.offset - time.monotonic())
            sent.append(create_task(self._insist(arrival)))
            arrival = next(arrivals, None)
        await gather(*sent)
        self._caller.close()
        return tuple(self._caller.calls)

    def end(self) -> None:
        """Send nothing new."""
        self._ending = True

    async def _insist(self, arrival: Arrival) -> None:
        number = 0
        ending = Ending.NOT_RUN
        node = arrival.node
        while ending in AGAIN and number < MOST_TRIES:
            name = f'{arrival.request}{TRY}{number}'
            attempt = replace(arrival, request=name, node=node)
            ending = (await self._caller.send(attempt)).ending
            node = self._follow(node)
            number += 1

    def _follow(self, node: Address) -> Address:
        nodes = self._settings.nodes
        return nodes[(nodes.index(node) + 1) % len(nodes)]


def find_request(name: str) -> str:
    """Return the request that a try belongs to.

    >>> find_request('till-1-7.try-2')
    'till-1-7'
    """
    return name.partition(TRY)[0]


def make_callers(
    layout: Layout,
    example: Example,
    title: str,
) -> tuple[InsistingCaller, ...]:
    """Return a caller for each customer; requests bear the title."""
    nodes = tuple(host.callers for host in layout.hosts)
    words = title.replace(',', '').replace(' ', '-')
    return tuple(
        InsistingCaller(
            CallerSettings(
                nodes,
                customer.kind,
                rate=customer.rate * BUSIER,
                seconds=LONGEST_TRAFFIC,
                timeout=CALLER_TIMEOUT,
                prefix=f'{words}-{customer.account}',
                credentials=Credentials(customer.account, customer.secret),
            ),
        )
        for customer in example.customers
    )
