"""Periodic work of a simulation: ticks, evidence, probes and restarts."""

from ipaddress import IPv4Address
from typing import Final

from hillfield.detection.disturbances import (
    HARMLESS,
    ONSET,
    Disturbance,
    ModelTarget,
)
from hillfield.detection.modelfleet import (
    FIRST_ADDRESS,
    ModelFleet,
    ModelNode,
    announce,
    build_target,
)
from hillfield.detection.traffic import update_detection
from hillfield.events import EventCode, Occurrence

# Seconds.
TICK: Final = 0.1
TICKS_PER_EXCHANGE: Final = 2
TICKS_PER_PROBE: Final = 10
TICKS_PER_RESTART: Final = 40
PROBE_SECONDS: Final = 0.025
TARGET_FAULTS: Final = frozenset(Disturbance) - HARMLESS
REMOVAL_EVENTS: Final = frozenset(
    (EventCode.TARGET_EJECTED, EventCode.TARGET_AVOIDED),
)


def tick_detectors(fleet: ModelFleet, number: int) -> None:
    """Tick all detectors; exchange evidence, probe and restart when due."""
    now = number * TICK
    for node in fleet.nodes:
        for occurrence in node.detector.tick(now):
            _count_occurrence(fleet, node, occurrence)
        update_detection(fleet, node, now)
    if number % TICKS_PER_EXCHANGE == 0:
        _exchange(fleet, now)
    if fleet.simulation.probes and number % TICKS_PER_PROBE == 0:
        _probe(fleet, now)
    is_cold_start = fleet.simulation.disturbance is Disturbance.COLD_START
    if is_cold_start and now >= ONSET and number % TICKS_PER_RESTART == 0:
        _restart(fleet, now)


def _count_occurrence(
    fleet: ModelFleet,
    node: ModelNode,
    occurrence: Occurrence,
) -> None:
    is_faulty = occurrence.target == str(fleet.faulty)
    if is_faulty and (
        fleet.simulation.disturbance in TARGET_FAULTS
        or node.number in fleet.cut_nodes
    ):
        fleet.avoided += occurrence.code is EventCode.TARGET_AVOIDED
        return
    if occurrence.code in REMOVAL_EVENTS:
        fleet.false_ejections += 1


def _exchange(fleet: ModelFleet, now: float) -> None:
    for node in fleet.nodes:
        evidence = node.detector.evidence(now)
        for other in fleet.nodes:
            if other is not node:
                other.detector.adopt_evidence(
                    now,
                    f'node-{node.number}',
                    node.locality.failure_domain,
                    evidence,
                )


def _probe(fleet: ModelFleet, now: float) -> None:
    is_failing = (
        fleet.simulation.disturbance is Disturbance.FAILING_PROBES
        and now >= ONSET
    )
    for node in fleet.nodes:
        for target in fleet.targets:
            node.detector.observe_probe(
                now, target, not is_failing, PROBE_SECONDS
            )


def _restart(fleet: ModelFleet, now: float) -> None:
    old = next(iter(fleet.targets))
    fleet.targets.pop(old)
    position = int(IPv4Address(old.address.ip)) - int(FIRST_ADDRESS)
    target = build_target(fleet.simulation, position, old.incarnation + 1)
    fresh = ModelTarget(
        target,
        fleet.simulation.size.median,
        Disturbance.CALM,
        fleet.random,
    )
    fresh.started = float(now)
    fleet.targets[target.id] = fresh
    announce(fleet, now)
