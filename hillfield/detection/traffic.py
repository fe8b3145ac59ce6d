"""Send modelled requests through the detectors of a simulation."""

from heapq import heappop, heappush
from typing import Final

from hillfield.detection.disturbances import ONSET, Call, compute_rate_factor
from hillfield.detection.modelfleet import ModelFleet, ModelNode, PendingCall
from hillfield.detection.rotation import Candidate
from hillfield.model import Target
from hillfield.routing.requests import ConnectFailed

# Seconds.
SAME_DOMAIN_ROUND_TRIP: Final = 0.0005
CROSS_DOMAIN_ROUND_TRIP: Final = 0.003


def run_until(fleet: ModelFleet, until: float) -> None:
    """Send arriving requests and end those due, in the order of time."""
    while True:
        due = fleet.pending[0].at if fleet.pending else until
        now = min(due, fleet.next_arrival)
        if now >= until:
            return
        if due <= fleet.next_arrival:
            _end(fleet, heappop(fleet.pending))
        else:
            _send(fleet, now)
            factor = compute_rate_factor(fleet.simulation.disturbance, now)
            rate = fleet.simulation.size.rate * factor
            fleet.next_arrival = now + fleet.random.expovariate(rate)


def _send(fleet: ModelFleet, now: float) -> None:
    node = fleet.random.choice(fleet.nodes)
    candidates = node.detector.rotation().candidates
    if not candidates:
        return
    chosen = _choose(fleet, node, candidates)
    _count_sent(fleet, node, chosen, now)
    node.in_flight[chosen.id] += 1
    call = _call(fleet, node, chosen, now)
    if not isinstance(call.observation, ConnectFailed):
        node.detector.record_start(now, chosen.id, fleet.sent)
    at = call.end if call.head is None else call.head
    due = PendingCall(at, fleet.sent, node.number, chosen.id, call)
    heappush(fleet.pending, due)


def _count_sent(
    fleet: ModelFleet,
    node: ModelNode,
    chosen: Target,
    now: float,
) -> None:
    fleet.sent += 1
    affected = node.number in fleet.cut_nodes or not fleet.cut_nodes
    if chosen.id != fleet.faulty or not affected:
        return
    if fleet.detected is None:
        fleet.last_sent = now
    else:
        fleet.sent_after_detection += 1


def _call(
    fleet: ModelFleet,
    node: ModelNode,
    chosen: Target,
    now: float,
) -> Call:
    is_near = node.locality.failure_domain == chosen.locality.failure_domain
    is_cut = chosen.id == fleet.faulty and node.number in fleet.cut_nodes
    round_trip = SAME_DOMAIN_ROUND_TRIP if is_near else CROSS_DOMAIN_ROUND_TRIP
    return fleet.targets[chosen.id].call(now, round_trip, is_cut)


def _choose(
    fleet: ModelFleet,
    node: ModelNode,
    candidates: tuple[Candidate, ...],
) -> Target:
    shares = [candidate.share for candidate in candidates]
    pair = fleet.random.choices(candidates, shares, k=2)
    loads = [node.in_flight[candidate.target.id] for candidate in pair]
    return pair[loads[1] < loads[0]].target


def _end(fleet: ModelFleet, due: PendingCall) -> None:
    node = fleet.nodes[due.node]
    if due.call.head is not None:
        node.detector.record_head(due.at, due.target, due.attempt)
    node.in_flight[due.target] -= 1
    node.detector.observe(due.at, due.target, due.attempt, due.call.observation)
    update_detection(fleet, node, due.at)


def update_detection(fleet: ModelFleet, node: ModelNode, now: float) -> None:
    """Record when the faulty target is out of rotation at all nodes."""
    rotation = node.detector.rotation()
    if rotation is node.last_rotation:
        return
    node.last_rotation = rotation
    kept = rotation.kept_slots / max(1, rotation.announced_slots)
    fleet.least_kept = min(fleet.least_kept, kept)
    node.sends_to_faulty = any(
        candidate.target.id == fleet.faulty for candidate in rotation.candidates
    )
    if now < ONSET or fleet.detected is not None:
        return
    affected = [
        other
        for other in fleet.nodes
        if other.number in fleet.cut_nodes or not fleet.cut_nodes
    ]
    if not any(other.sends_to_faulty for other in affected):
        fleet.detected = max(ONSET, fleet.last_sent)
        fleet.sent_at_detection = fleet.sent
