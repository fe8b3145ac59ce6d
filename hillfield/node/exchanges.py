"""Make what a gated node tells other nodes in datagrams."""

from random import Random

from hillfield.gate import Gate
from hillfield.node.crashes import CrashExchange
from hillfield.node.ends import EndWatch
from hillfield.node.fittings import Fittings
from hillfield.node.parts import Parts
from hillfield.node.quotas import QuotaExchange
from hillfield.node.reporting import LoadReporting
from hillfield.proxy import ProxyServer


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


def make_crashes(parts: Parts) -> CrashExchange:
    """Return what knows requests again that end targets."""
    return CrashExchange(parts.settings.cluster_key.encode())


def make_end_watch(
    gate: Gate,
    hops: ProxyServer,
    crashes: CrashExchange,
) -> EndWatch:
    """Return what tells when this host's target has ended."""
    return EndWatch(gate, hops.pool, crashes.take_end)
