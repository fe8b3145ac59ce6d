"""Builders for the datagram exchanges of a gated node."""

from random import Random

from hillfield.events import Journal
from hillfield.gate import Gate, IncarnationTracker
from hillfield.node.adapterparts import AdapterParts
from hillfield.node.crashes import CrashTracker
from hillfield.node.crashexchange import CrashExchange
from hillfield.node.crashstore import CrashStorage
from hillfield.node.departureexchange import DepartureExchange
from hillfield.node.departures import DepartureStorage
from hillfield.node.exits import ExitWatch
from hillfield.node.parts import Parts
from hillfield.node.quotas import QuotaExchange
from hillfield.node.reporting import LoadReporting
from hillfield.proxy import ProxyServer
from hillfield.settings import NodeSettings


def build_load_reporting(
    parts: Parts,
    fittings: AdapterParts,
    gate: Gate,
) -> LoadReporting:
    """Return the reporter of the capacity of this host's target."""
    reporting = LoadReporting(
        fittings.reports,
        parts.settings.cluster_key.encode(),
        gate,
        parts.dispatchers.apply_report,
        parts.proxy.deliver,
    )
    reporting.socket.counter = parts.metrics.record_datagrams
    return reporting


def build_quota_exchange(parts: Parts, fittings: AdapterParts) -> QuotaExchange:
    """Return the enforcement of account limits, set at the planner."""
    quotas = QuotaExchange(
        fittings.quotas,
        parts.settings.cluster_key.encode(),
        Random(),
    )
    quotas.socket.counter = parts.metrics.record_datagrams
    fittings.planner.quotas = quotas
    return quotas


def build_crash_exchange(
    settings: NodeSettings,
    fittings: AdapterParts,
    journal: Journal,
) -> CrashExchange:
    """Return the exchange of findings on crashing requests."""
    key = settings.cluster_key.encode()
    tracker = CrashTracker(key, journal)
    return CrashExchange(fittings.crashes, key, Random(), tracker)


def build_crash_storage(parts: Parts, crashes: CrashExchange) -> CrashStorage:
    """Return the persistence of crashing requests in the store."""
    return CrashStorage(
        parts.settings.cluster,
        parts.store,
        crashes.tracker,
        parts.journal,
    )


def build_departure_storage(
    parts: Parts,
    tracker: IncarnationTracker,
) -> DepartureStorage:
    """Return the persistence of the departures of this host's targets."""
    settings = parts.settings
    prefix = f'/hillfield/{settings.cluster}/departures/'
    return DepartureStorage(
        prefix, settings.name, parts.store, tracker, parts.journal
    )


def build_departure_exchange(
    parts: Parts,
    fittings: AdapterParts,
    storage: DepartureStorage,
) -> DepartureExchange:
    """Return the exchange of departures with the other nodes."""
    exchange = DepartureExchange(
        fittings.departures,
        parts.settings.cluster_key.encode(),
        Random(),
        storage,
        parts.journal,
    )
    exchange.socket.counter = parts.metrics.record_datagrams
    return exchange


def build_exit_watch(
    gate: Gate,
    hops: ProxyServer,
    crashes: CrashExchange,
) -> ExitWatch:
    """Return the watch for exits of this host's target."""
    gate.on_served = crashes.tracker.record_answered
    return ExitWatch(gate, hops.pool, crashes.tracker.record_exit)
