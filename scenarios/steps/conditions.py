"""Steps that say what there is before something fails."""

from msgspec.structs import replace
from pytest_bdd import given, parsers

from scenarios.fleet import Shape


@given(parsers.parse('a floor of {percent:d}%'))
def set_floor(world, percent):
    """Configure the share of capacity that ejection leaves."""
    world.template = replace(world.template, floor=percent / 100)


@given(parsers.parse('a deadline of {seconds:g} s'))
def set_deadline(world, seconds):
    """Configure how long a request may take."""
    world.template = replace(world.template, deadline=seconds)


@given(parsers.parse('hedging after {seconds:g} s'))
def set_hedging(world, seconds):
    """Configure second attempts of slow lookups."""
    world.template = replace(
        world.template,
        hedge_after=seconds,
        hedge_budget=0.2,
    )


@given(parsers.parse('a queue of {count:d} at each node'))
def set_queue(world, count):
    """Configure how many requests may wait."""
    world.template = replace(world.template, queue_limit=count)


@given(parsers.parse('{nodes:d} nodes with {targets:d} targets each'))
def start_fleet(world, nodes, targets):
    """Start nodes of one failure domain, and targets of 4 slots."""
    world.start(Shape(nodes, targets))


@given(
    parsers.parse(
        '{nodes:d} nodes with {targets:d} targets each,'
        ' in {domains:d} failure domains',
    ),
)
def start_domains(world, nodes, targets, domains):
    """Start nodes of several failure domains."""
    world.start(Shape(nodes, targets, domains=domains))


@given(
    parsers.parse(
        '{nodes:d} nodes as processes with {targets:d} targets each',
    ),
)
def start_apart(world, nodes, targets):
    """Start nodes that can crash and freeze."""
    world.start(Shape(nodes, targets, apart=True))


@given(parsers.parse('1 node with {targets:d} targets of {slots:d} slots'))
def start_small(world, targets, slots):
    """Start one node and small targets."""
    world.start(Shape(1, targets, slots))


@given(parsers.parse('traffic of {rate:d} {kind} a second'))
def start_traffic(world, rate, kind):
    """Start traffic that goes on to the end of the scenario."""
    world.flow(kind, rate)
    world.wait(0.5)
