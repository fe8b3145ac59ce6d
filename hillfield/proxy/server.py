"""Server that forwards callers' requests to targets."""

from asyncio import get_running_loop
from typing import Final

from msgspec.structs import replace

from hillfield.clocks import monotonic
from hillfield.events import Journal
from hillfield.model import TargetId
from hillfield.proxy.connections import CallerConnections, record_drain
from hillfield.proxy.context import ProxyContext
from hillfield.proxy.deadlines import DrainLimits
from hillfield.proxy.intake import Acceptor
from hillfield.proxy.meters import NoMeter, RequestMeter
from hillfield.proxy.ports import CrashGuard, NoCrashGuard, PlanSource
from hillfield.proxy.settings import ProxySettings
from hillfield.routing.ports import Dispatchers
from hillfield.routing.requests import Decision
from hillfield.timers import ScheduledCall, get_shared_timer

_SWEEP_SECONDS: Final = 0.5


class ProxyServer:
    """Server that accepts callers and forwards their requests to targets.

    Start it inside a running loop. Pass the decisions that the dispatchers'
    `poll` returns on queued requests to `deliver`.
    """

    def __init__(
        self,
        settings: ProxySettings,
        plans: PlanSource,
        dispatchers: Dispatchers,
        journal: Journal,
        meter: RequestMeter | None = None,
        guard: CrashGuard | None = None,
    ) -> None:
        """Initialize; nothing listens yet."""
        self.address = settings.address
        self._settings = settings
        self._context = ProxyContext(
            settings,
            plans,
            dispatchers,
            journal,
            meter or NoMeter(),
            guard or NoCrashGuard(),
        )
        self.pool = self._context.pool
        self._acceptor: Acceptor | None = None
        self._connections = CallerConnections(self._context)
        self._sweeper: ScheduledCall | None = None

    def start(self) -> None:
        """Start listening; `address` then contains the port."""
        self._acceptor = Acceptor(
            self._settings.address,
            self._connections.accept,
        )
        self.address = self._acceptor.address
        self._sweeper = get_shared_timer().every(_SWEEP_SECONDS, self._sweep)

    def adopt_limits(
        self,
        head_bytes: int,
        body_bytes: int,
        head_seconds: float,
        idle_seconds: float,
    ) -> None:
        """Set the limits for what callers send from now on.

        They hold on all connections, also on those that are open.
        """
        settings = replace(
            self._context.settings,
            head_limit=head_bytes,
            body_limit=body_bytes,
            head_timeout=head_seconds,
            idle_timeout=idle_seconds,
        )
        if settings != self._context.settings:
            self._context.settings = settings
            self._connections.adopt_settings()

    def deliver(self, decisions: tuple[Decision, ...]) -> None:
        """Carry out decisions on queued requests."""
        for decision in decisions:
            self._context.deliver(decision)

    def retire(self, target: TargetId) -> None:
        """Close a leaving target's idle connections; leave those in use."""
        self._context.pool.retire(target)

    def count_connections(self) -> int:
        """Return how many callers' connections are open."""
        return len(self._connections.tasks)

    def count_requests(self) -> int:
        """Return how many requests are queued or at a target."""
        return len(self._context.in_flight)

    async def drain(self) -> None:
        """Stop accepting, finish all requests in flight, then stop.

        Idle connections get a grace period in which a request that was already
        sent is still served.
        """
        self._stop_listening()
        now = monotonic()
        self._context.drain_limits = DrainLimits(
            now + self._settings.drain_grace,
            now + self._settings.drain_timeout,
        )
        record_drain(self._context, self.address, self.count_connections())
        await self._connections.drain()
        self._stop_sweeping()
        self._context.pool.close()

    def abandon(self) -> None:
        """Stop immediately, as in a crash: all connections are reset."""
        self._stop_listening()
        self._connections.abandon()
        self._stop_sweeping()
        self._context.pool.close()

    def _stop_listening(self) -> None:
        if self._acceptor is not None:
            self._acceptor.close()

    def _stop_sweeping(self) -> None:
        if self._sweeper is not None:
            self._sweeper.cancel()

    def _sweep(self) -> None:
        now = get_running_loop().time()
        if self._context.draining:
            self._context.refuse_late()
        self._connections.sweep(now)
        self._context.pool.sweep(now)
