"""Experiment `messages`: what messages cost, by the number of nodes."""

from typing import Final

from msgspec import Struct

from hillfield.experiments.registry import Options
from hillfield.experiments.reports import Condition, Report, Table
from hillfield.experiments.sizing.disasters import Disaster, measure_disaster
from hillfield.experiments.sizing.fits import Fit, fit
from hillfield.experiments.sizing.fitting import SLOPE_COLUMNS, show_fit
from hillfield.experiments.sizing.gossip import Gossip, measure_gossip
from hillfield.experiments.sizing.timelines import measure_timeline
from hillfield.fleet.measurement import SIZES, FleetCosts, measure_costs
from hillfield.fleet.traffic import Traffic, measure_traffic

COST_COLUMNS: Final = ('part', 'MB when full')
NODES: Final = 'nodes'
MICROSECONDS: Final = 'us'
BYTES: Final = 'B'


class MessagePlan(Struct, frozen=True):
    """Say for how many nodes to measure each thing."""

    states: tuple[int, ...]
    fleets: tuple[int, ...]
    gossips: tuple[int, ...]
    disasters: tuple[int, ...]


FULL: Final = MessagePlan(
    states=SIZES,
    fleets=(12, 24, 48, 72),
    gossips=(8, 16, 32, 48),
    disasters=(8, 16, 32, 48),
)
QUICK: Final = MessagePlan(
    states=(75, 150),
    fleets=(6, 12),
    gossips=(6, 12),
    disasters=(8, 16),
)


def measure(options: Options) -> Report:
    """Measure a loaded state's work, and the bytes of small fleets."""
    plan = QUICK if options.quick else FULL
    costs = tuple(map(measure_costs, plan.states))
    traffic = tuple(map(measure_traffic, plan.fleets))
    gossips = tuple(map(measure_gossip, plan.gossips))
    disasters = tuple(map(measure_disaster, plan.disasters))
    lines = (
        *_fit_costs(costs),
        *_fit_traffic(traffic),
        _fit_gossip(gossips),
        *_fit_disasters(disasters),
    )
    rows = tuple(map(show_fit, lines))
    return Report(
        'messages',
        conditions=(
            Condition('work', 'one state loaded with so many nodes'),
            Condition('bytes', 'per node; states in one process, no sockets'),
        ),
        tables=(
            Table('slopes', SLOPE_COLUMNS, rows),
            Table('costs', COST_COLUMNS, (('time line', measure_timeline()),)),
        ),
    )


def _fit_costs(costs: tuple[FleetCosts, ...]) -> tuple[Fit, ...]:
    heartbeats = tuple(
        (cost.nodes, cost.heartbeat.microseconds) for cost in costs
    )
    records = tuple(
        (cost.nodes, cost.record_change.microseconds) for cost in costs
    )
    ticks = tuple((cost.nodes, cost.tick) for cost in costs)
    return (
        fit('heartbeat by nodes', MICROSECONDS, NODES, heartbeats),
        fit('record changed by nodes', MICROSECONDS, NODES, records),
        fit('tick by nodes', MICROSECONDS, NODES, ticks),
    )


def _fit_traffic(traffic: tuple[Traffic, ...]) -> tuple[Fit, ...]:
    quiet = tuple((each.nodes, each.quiet) for each in traffic)
    restart = tuple((each.nodes, each.restart) for each in traffic)
    loss = tuple((each.nodes, each.loss) for each in traffic)
    entry = tuple((each.nodes, each.entry) for each in traffic)
    return (
        fit('quiet by nodes', 'B/s', NODES, quiet),
        fit('restart by nodes', BYTES, NODES, restart),
        fit('loss by nodes', BYTES, NODES, loss),
        fit('entry by nodes', BYTES, NODES, entry),
    )


def _fit_gossip(gossips: tuple[Gossip, ...]) -> Fit:
    seen = tuple((each.nodes, each.seen) for each in gossips)
    return fit('evidence by nodes', 'B/s', 'nodes that see it', seen)


def _fit_disasters(disasters: tuple[Disaster, ...]) -> tuple[Fit, ...]:
    domain = tuple((each.nodes, each.domain) for each in disasters)
    merge = tuple((each.nodes, each.merge) for each in disasters)
    return (
        fit('domain lost by nodes', BYTES, NODES, domain),
        fit('regions merged by nodes', BYTES, NODES, merge),
    )
