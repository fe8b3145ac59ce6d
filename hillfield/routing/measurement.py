"""Compare the routing decisions with the baseline.

`python -m hillfield.routing.measurement` prints one line per measurement.
"""

from random import Random
from statistics import median
from sys import stdout
from time import perf_counter
from typing import Final

from msgspec.structs import replace

from hillfield.detection.baseline import BaselineDetector
from hillfield.detection.healthdetector import HealthDetector
from hillfield.model import RequestPlan, ServicePolicy
from hillfield.routing.admission import admit, serve_queue
from hillfield.routing.baseline import BaselineDispatcher
from hillfield.routing.dispatcher import Dispatcher
from hillfield.routing.phases import AttemptTrigger
from hillfield.routing.recovery import finish
from hillfield.routing.requests import Arrival, Send
from hillfield.routing.service import ServiceState, open_service
from hillfield.routing.simulation import (
    ANSWER,
    LOCALITY,
    SERVICE,
    Setting,
    Simulation,
    Tally,
    make_targets,
)

SIZES: Final = (30, 100, 300, 1000)
SLOTS: Final = 4
DECISIONS: Final = 2000
REPEATS: Final = 5
MICROSECONDS: Final = 1e6
MILLISECONDS: Final = 1000
SEEDS: Final = (1, 2, 3)
LOADS: Final = (0.8, 1, 3)
HIGH: Final = 0.99
ALL_BROKEN: Final = Setting(broken=True)
ONE_SLOW: Final = Setting(rate=1000, slow=5)
SHARED: Final = Setting(nodes=6, targets=6)
GREEDY_SHARE: Final = 0.8
ONE_GREEDY: Final = replace(
    SHARED,
    rate=3 * SHARED.capacity(),
    seconds=5,
    greedy=GREEDY_SHARE,
)


def measure_choice(targets: int) -> float:
    """Return the median microseconds that one request's decisions take.

    Each request is admitted, written, answered and polled for, while all
    targets are in rotation and a quarter of their slots stay busy.
    """
    policy = ServicePolicy(SERVICE)
    detector = HealthDetector(policy, LOCALITY)
    detector.adopt_targets(0, make_targets(targets, SLOTS))
    service = open_service(policy, LOCALITY, detector, Random(1))
    plan = RequestPlan(SERVICE, 'r', 'account', idempotent=True, deadline=1)
    for number in range(targets):
        admit(service, 0, Arrival(f'busy{number}', plan, 1, replayable=True))
    arrival = Arrival('measured', plan, 1, replayable=True)
    return median(_time_decisions(service, arrival) for _ in range(REPEATS))


def measure_setting(setting: Setting, baseline: bool) -> Tally:
    """Run a setting with the usual dispatcher or with the baseline's."""
    if baseline:
        return Simulation(setting, BaselineDetector, BaselineDispatcher).run()
    return Simulation(setting, HealthDetector, Dispatcher).run()


def measure_overload(
    setting: Setting,
    baseline: bool,
) -> tuple[float, ...]:
    """Return goodput per capacity at each load, in multiples of capacity."""
    return tuple(
        measure_setting(
            replace(setting, rate=load * setting.capacity()),
            baseline,
        ).answered
        / (setting.seconds * setting.capacity())
        for load in LOADS
    )


def print_report() -> None:
    """Run and print all measurements."""
    for size in SIZES:
        micro = measure_choice(size)
        stdout.write(f'decision targets={size} microseconds={micro:.1f}\n')
    for seed in SEEDS:
        for baseline in (False, True):
            kind = 'baseline' if baseline else 'hillfield'
            mark = f'{kind} seed={seed}'
            _print_slow(mark, replace(ONE_SLOW, seed=seed), baseline)
            _print_broken(mark, replace(ALL_BROKEN, seed=seed), baseline)
            _print_greedy(mark, replace(ONE_GREEDY, seed=seed), baseline)
            for sheds in (True, False):
                setting = replace(SHARED, seed=seed, sheds=sheds)
                _print_overload(mark, setting, baseline)


def _print_slow(mark: str, setting: Setting, baseline: bool) -> None:
    tally = measure_setting(setting, baseline)
    p99 = tally.percentile(HIGH) * MILLISECONDS
    first = make_targets(1, SLOTS)[0].id
    share = tally.by_target.get(first, 0) / tally.sent
    stdout.write(f'one-slow {mark} p99_ms={p99:.1f} share={share:.4f}\n')


def _print_broken(mark: str, setting: Setting, baseline: bool) -> None:
    tally = measure_setting(setting, baseline)
    ratio = tally.sent / tally.arrived
    stdout.write(f'all-broken {mark} sent_per_request={ratio:.4f}\n')


def _print_greedy(mark: str, setting: Setting, baseline: bool) -> None:
    tally = measure_setting(setting, baseline)
    greedy = tally.greedy_answered / tally.greedy_arrived
    answered = tally.answered - tally.greedy_answered
    others = answered / (tally.arrived - tally.greedy_arrived)
    stdout.write(f'greedy {mark} greedy={greedy:.3f} others={others:.3f}\n')


def _print_overload(mark: str, setting: Setting, baseline: bool) -> None:
    goodput = measure_overload(setting, baseline)
    sheds = setting.sheds
    for load, share in zip(LOADS, goodput, strict=True):
        stdout.write(
            f'overload {mark} sheds={sheds} load={load} goodput={share:.3f}\n',
        )


def _time_decisions(service: ServiceState, arrival: Arrival) -> float:
    start = perf_counter()
    for _ in range(DECISIONS):
        decision = admit(service, 0, arrival)
        if isinstance(decision, Send):
            attempt = service.table.attempts[decision.attempt]
            attempt.follow(AttemptTrigger.WRITE)
            service.detector.record_start(0, decision.target, decision.attempt)
            finish(service, 0, attempt, ANSWER)
        serve_queue(service, 0)
    return (perf_counter() - start) / DECISIONS * MICROSECONDS


if __name__ == '__main__':
    print_report()
