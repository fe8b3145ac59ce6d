"""Parts of a node that a platform's adapter provides."""

from collections.abc import Callable
from random import Random
from typing import Protocol

from msgspec import Struct

from hillfield.announcements import TargetRegistry
from hillfield.detection.pathdetector import PathDetector
from hillfield.fleet.store_feed import FeedSettings
from hillfield.hostroutes import HostPlanner
from hillfield.model import Address, AnswerChecks, RepeatBound
from hillfield.node.departures import DepartureStorage
from hillfield.node.dispatchers import DispatcherRegistry
from hillfield.node.page import NodePage
from hillfield.node.parts import Parts, Recording
from hillfield.node.stopping import StopSchedule
from hillfield.proxy import ProxyServer, ProxySettings, RequestMeter
from hillfield.proxy.ports import CrashGuard
from hillfield.routing import DispatcherTable
from hillfield.settings import NodeSettings
from hillfield.store.ports import OpenStore


class ExtraListener(Protocol):
    """Listen on a separate address while the node runs."""

    def start(self) -> None:
        """Open the socket; raises `OSError` if it can't be bound."""

    async def stop(self) -> None:
        """Close the socket."""


class AdapterParts(Struct, frozen=True):
    """Hold the parts that a platform's adapter provides.

    `callers` and `hops` are the settings of the two servers, `checks` detect
    wrong answers of the target. `repeats` bounds the repeats of each service over
    all nodes. `reports`, `quotas`, `crashes` and `departures` are the
    addresses for datagrams with load reports, usage of accounts, findings on
    crashing requests and departures of targets (the same ports on all hosts).
    `stop` is the schedule that the limits of the two servers follow. `relay`
    sets how the store is watched, `make_listeners` builds further listeners.
    """

    planner: HostPlanner
    repeats: RepeatBound
    store: OpenStore
    callers: ProxySettings
    hops: ProxySettings
    reports: Address
    quotas: Address
    crashes: Address
    departures: Address
    checks: AnswerChecks
    stop: StopSchedule
    relay: FeedSettings
    make_listeners: Callable[
        [DepartureStorage, NodePage],
        tuple[ExtraListener, ...],
    ]


def build_gated_parts(
    settings: NodeSettings,
    recording: Recording,
    fittings: AdapterParts,
    meter: RequestMeter,
    guard: CrashGuard,
) -> Parts:
    """Build all parts of a gated node; nothing is opened yet.

    `meter` counts the requests of this host's callers, `guard` refuses
    requests that crash targets.
    """
    planner = fittings.planner
    journal = recording.journal
    table = DispatcherTable(settings.locality, PathDetector, Random())
    dispatchers = DispatcherRegistry(table, planner)
    return Parts(
        settings=settings,
        timeline=recording.timeline,
        metrics=recording.metrics,
        journal=journal,
        registry=TargetRegistry(settings, journal),
        replica=planner,
        configuration=planner,
        table=table,
        dispatchers=dispatchers,
        proxy=ProxyServer(
            fittings.callers,
            planner,
            dispatchers,
            journal,
            meter,
            guard,
        ),
        store=fittings.store,
    )
