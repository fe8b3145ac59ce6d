"""Requests on a route that is added while a service is crowded and sick."""

from collections import Counter

from pytest import fixture

from hillfield.experiments.calling.deployment import (
    Burst,
    Deployment,
    Kind,
    Spells,
)
from hillfield.experiments.calling.play import play

SERVICE = 'records'
SLOTS = 6
TARGETS = (4, 4, 4)
WORK = 1.2
# Requests a second that the targets work at on average, so much of their time.
RATE = 0.9 * SLOTS * sum(TARGETS) / WORK
ADDED_RATE = 6.0
SECONDS = 21
SEEDS = 2
POST = Kind(
    'post',
    SERVICE,
    aim=2.8,
    deadline=15,
    priority=1,
    work=WORK,
    spread=0.5,
    rate=0.7 * RATE,
)
READ = Kind(
    'read',
    SERVICE,
    aim=2.8,
    deadline=15,
    priority=2,
    work=WORK,
    spread=0.5,
    idempotent=True,
    rate=0.3 * RATE,
)
ADDED = Kind(
    'added',
    SERVICE,
    aim=1,
    deadline=1,
    priority=0,
    work=0.01,
    spread=0.8,
    idempotent=True,
    rate=ADDED_RATE,
    begins=6,
)
RESETTING = Deployment(
    (POST, READ, ADDED),
    {SERVICE: TARGETS},
    SLOTS,
    Spells(9, 0.3, 0, resets=0.85),
    Burst(1.7, 8, 16),
)


@fixture(scope='module')
def counts():
    found: dict[str, Counter[str]] = {}
    for seed in range(SEEDS):
        for route, ends in play(RESETTING, SECONDS, seed).counts.items():
            found.setdefault(route, Counter()).update(ends)
    return found


def find_share(*counters):
    ends: Counter[str] = sum(counters, Counter())
    return (ends['ok'] + ends['late']) / ends.total()


def test_an_added_route_of_the_highest_priority_is_not_served_worst(counts):
    first = find_share(counts['post'], counts['read'])
    assert counts['added'].total() > 100
    assert find_share(counts['added']) >= first
