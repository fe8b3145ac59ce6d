"""Request path with the real routing decisions, in a process of its own."""

from random import Random
from time import monotonic

from expression import Ok, Result
from tornado.ioloop import PeriodicCallback

from hillfield.detection.healthdetector import HealthDetector
from hillfield.events import ListJournal
from hillfield.model import (
    Address,
    Locality,
    RequestFailure,
    RequestPlan,
    ServicePolicy,
    Target,
    TargetId,
)
from hillfield.proxy.measurement.processes import serve_until_eof
from hillfield.proxy.memory import freeze_startup_memory
from hillfield.proxy.ports import RequestHead
from hillfield.proxy.server import ProxyServer
from hillfield.proxy.settings import ProxySettings
from hillfield.routing import DispatcherTable

_SERVICE = 'measured'
_HERE = Locality('region', 'domain', 'host')
_SLOTS = 256
_TICK_MILLISECONDS = 100
_DEADLINE = 30.0
_PLAN = RequestPlan(
    _SERVICE,
    'all',
    'account',
    idempotent=True,
    deadline=_DEADLINE,
)


class FixedPlan:
    """Plan source with one plan for all requests."""

    def resolve(
        self,
        head: RequestHead,
    ) -> Result[RequestPlan, RequestFailure]:
        """Return the plan."""
        return Ok(_PLAN)


async def serve(target_port: int) -> None:
    """Serve on a free port until standard input ends."""
    table = DispatcherTable(_HERE, HealthDetector, Random(1))
    table.adopt_policy(monotonic(), ServicePolicy(_SERVICE, slow_start=0))
    address = Address('127.0.0.1', target_port)
    target = Target(TargetId(_SERVICE, address, 1), _HERE, _SLOTS, _SLOTS)
    table.adopt_targets(monotonic(), _SERVICE, (target,))
    server = ProxyServer(
        ProxySettings(Address('127.0.0.1', 0)),
        FixedPlan(),
        table,
        ListJournal(),
    )
    server.start()
    ticker = PeriodicCallback(lambda: _tick(table, server), _TICK_MILLISECONDS)
    ticker.start()
    freeze_startup_memory()
    await serve_until_eof(server.address.port)
    ticker.stop()
    await server.drain()


def _tick(table: DispatcherTable, server: ProxyServer) -> None:
    now = monotonic()
    table.tick(now)
    server.deliver(table.poll(now))
