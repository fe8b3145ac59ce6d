"""Make what a gated node tells other nodes in datagrams."""

from random import Random

from hillfield.events import Journal
from hillfield.gate import Gate
from hillfield.node.crashes import CrashBook
from hillfield.node.crashnews import CrashExchange
from hillfield.node.crashstore import CrashMemory
from hillfield.node.ends import EndWatch
from hillfield.node.fittings import Fittings
from hillfield.node.parts import Parts
from hillfield.node.quotas import QuotaExchange
from hillfield.node.reporting import LoadReporting
from hillfield.proxy import ProxyServer
from hillfield.settings import NodeSettings


def make_reporting(
    parts: Parts,
    fittings: Fittings,
    gate: Gate,
) -> LoadReporting:
    """Return what tells others of the room at this host's target."""
    reporting = LoadReporting(
        fittings.reports,
        parts.settings.cluster_key.encode(),
        gate,
        parts.desk.follow_report,
        parts.proxy.deliver,
    )
    reporting.socket.counter = parts.metrics.note_datagrams
    return reporting


def make_quotas(parts: Parts, fittings: Fittings) -> QuotaExchange:
    """Return what holds the limits of accounts, asked by the planner."""
    quotas = QuotaExchange(
        fittings.quotas,
        parts.settings.cluster_key.encode(),
        Random(),
    )
    quotas.socket.counter = parts.metrics.note_datagrams
    fittings.planner.quotas = quotas
    return quotas


def make_crashes(
    settings: NodeSettings,
    fittings: Fittings,
    journal: Journal,
) -> CrashExchange:
    """Return what knows requests again that end targets."""
    key = settings.cluster_key.encode()
    book = CrashBook(key, journal)
    return CrashExchange(fittings.crashes, key, Random(), book)


def make_crash_memory(parts: Parts, crashes: CrashExchange) -> CrashMemory:
    """Return what keeps such requests in the store."""
    return CrashMemory(
        parts.settings.cluster,
        parts.store,
        crashes.book,
        parts.journal,
    )


def make_end_watch(
    gate: Gate,
    hops: ProxyServer,
    crashes: CrashExchange,
) -> EndWatch:
    """Return what tells when this host's target has ended."""
    gate.on_served = crashes.book.note_served
    return EndWatch(gate, hops.pool, crashes.book.take_end)
