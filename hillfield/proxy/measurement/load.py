"""Load on the node and directly on the target, interleaved in one run."""

from asyncio import (
    BaseTransport,
    Future,
    Protocol,
    Task,
    Transport,
    create_task,
    gather,
    get_running_loop,
    sleep,
)
from collections import deque
from dataclasses import dataclass, field
from random import Random
from time import perf_counter
from typing import Final, cast

from msgspec import Struct

from hillfield.proxy.measurement.target import BODY_SIZE

_REQUEST: Final = (
    b'POST /lookups/17?member=4 HTTP/1.1\r\nHost: 127.0.0.1\r\n'
    b'Authorization: Basic YmFrZXI6c2VjcmV0\r\nAccept: application/json\r\n'
    b'Content-Type: application/json\r\nContent-Length: %d\r\n\r\n%s'
) % (BODY_SIZE, b'q' * BODY_SIZE)
_HEAD_END: Final = b'\r\n\r\n'


class LoadSettings(Struct, frozen=True):
    """Load to generate: `rate` requests a second to each port, open loop.

    With a rate of 0 each of `callers` sends again once it is answered, to the
    first port only (closed loop). `seconds` bounds the run.
    """

    ports: tuple[int, ...]
    rate: float
    seconds: float
    callers: int = 0
    seed: int = 1


class Client(Protocol):
    """Client that sends one request at a time over one connection."""

    def __init__(self) -> None:
        """Start without a connection."""
        self._received = bytearray()
        self._transport: Transport | None = None
        self._answered: Future[None] | None = None

    def connection_made(self, transport: BaseTransport) -> None:
        """Store the transport of the new connection."""
        self._transport = cast(Transport, transport)

    def data_received(self, data: bytes) -> None:  # noqa: WPS110 asyncio's
        """Complete the pending request if its answer is complete."""
        self._received += data
        end = self._received.find(_HEAD_END)
        complete = end >= 0 and self._received.startswith(b'HTTP/1.1 200')
        if complete and len(self._received) >= end + 4 + BODY_SIZE:
            self._received.clear()
            if self._answered is not None:
                self._answered.set_result(None)

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the pending request."""
        if self._answered is not None and not self._answered.done():
            self._answered.set_exception(ConnectionResetError())

    async def ask(self) -> float:
        """Return the seconds from the request to its complete answer."""
        self._answered = get_running_loop().create_future()
        began = perf_counter()
        if self._transport is not None:
            self._transport.write(_REQUEST)
        await self._answered
        return perf_counter() - began


@dataclass(slots=True)
class PortLoad:
    """Callers and latencies of one port."""

    port: int
    idle: deque[Client] = field(default_factory=deque)
    seconds: list[float] = field(default_factory=list)

    async def ask(self) -> None:
        """Send one request over a free connection."""
        client = self.idle.pop() if self.idle else await self._connect()
        latency = await client.ask()
        self.seconds.append(latency)
        self.idle.append(client)

    async def _connect(self) -> Client:
        _, client = await get_running_loop().create_connection(
            Client,
            '127.0.0.1',
            self.port,
        )
        return client


async def run_load(settings: LoadSettings) -> tuple[tuple[float, ...], ...]:
    """Return the latencies in seconds per port."""
    loads = tuple(PortLoad(port) for port in settings.ports)
    if settings.rate:
        await _run_open(loads, settings)
    else:
        callers = range(settings.callers)
        await gather(*(_run_closed(loads[0], settings) for _ in callers))
    return tuple(tuple(load.seconds) for load in loads)


async def _run_open(
    loads: tuple[PortLoad, ...],
    settings: LoadSettings,
) -> None:
    random = Random(settings.seed)
    tasks: set[Task[None]] = set()
    due = perf_counter()
    ends = due + settings.seconds
    while due < ends:
        due += random.expovariate(settings.rate * len(loads))
        await sleep(max(0, due - perf_counter()))
        load = loads[random.randrange(len(loads))]
        task = create_task(load.ask())
        tasks.add(task)
        task.add_done_callback(tasks.discard)
    await gather(*tasks)


async def _run_closed(load: PortLoad, settings: LoadSettings) -> None:
    ends = perf_counter() + settings.seconds
    while perf_counter() < ends:
        await load.ask()
