"""What an adapter brings to a node for a platform."""

from collections.abc import Callable
from random import Random
from typing import Protocol

from msgspec import Struct

from hillfield.announcements import TargetRegistry
from hillfield.detection.paths import PathBoard
from hillfield.fleet.feeds import FeedSettings
from hillfield.gate.seating import Seating
from hillfield.hostroutes import HostPlanner
from hillfield.model import Address, AnswerChecks
from hillfield.node.desk import ServiceDesk
from hillfield.node.page import NodePage
from hillfield.node.parts import Parts, Recording
from hillfield.proxy import ProxyServer, ProxySettings, RequestMeter
from hillfield.proxy.ports import CrashGuard
from hillfield.routing import DispatcherTable
from hillfield.settings import NodeSettings
from hillfield.store.ports import OpenStore


class Listening(Protocol):
    """Listen on an address of its own while the node runs."""

    def start(self) -> None:
        """Open the socket; raises `OSError` when it can't be had."""

    async def stop(self) -> None:
        """Close it."""


class Fittings(Struct, frozen=True):
    """Hold what an adapter brings for a platform.

    `callers` and `hops` are the settings of the two servers, `checks` tell a
    wrong answer of the target, `reports` is where load reports come in
    (datagrams, the same port on all hosts), `quotas` where those of accounts'
    requests do and `crashes` where those of requests that end targets do,
    `relay` how the store is followed,
    `make_listeners` what else listens.
    """

    planner: HostPlanner
    store: OpenStore
    callers: ProxySettings
    hops: ProxySettings
    reports: Address
    quotas: Address
    crashes: Address
    checks: AnswerChecks
    relay: FeedSettings
    make_listeners: Callable[[Seating, NodePage], tuple[Listening, ...]]


def make_gated_parts(
    settings: NodeSettings,
    recording: Recording,
    fittings: Fittings,
    meter: RequestMeter,
    guard: CrashGuard,
) -> Parts:
    """Build all parts of a gated node; nothing is opened yet.

    `meter` is told of the requests of this host's callers, `guard` knows those
    that end targets.
    """
    planner = fittings.planner
    journal = recording.journal
    table = DispatcherTable(settings.locality, PathBoard, Random())
    desk = ServiceDesk(table, planner)
    return Parts(
        settings=settings,
        timeline=recording.timeline,
        metrics=recording.metrics,
        journal=journal,
        registry=TargetRegistry(settings, journal),
        replica=planner,
        configuration=planner,
        table=table,
        desk=desk,
        proxy=ProxyServer(
            fittings.callers,
            planner,
            desk,
            journal,
            meter,
            guard,
        ),
        store=fittings.store,
    )
