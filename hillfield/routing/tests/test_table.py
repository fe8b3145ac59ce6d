"""The table of dispatchers."""

from random import Random
from typing import Any

from msgspec.structs import replace
from pytest import mark

from hillfield.detection.baseline import BaselineDetector
from hillfield.detection.evidence import Evidence, Symptom
from hillfield.detection.healthdetector import HealthDetector
from hillfield.model import (
    Address,
    Locality,
    Outcome,
    RequestPlan,
    ServicePolicy,
    Target,
    TargetId,
)
from hillfield.routing import (
    Dispatcher,
    DispatcherTable,
)
from hillfield.routing.baseline import BaselineDispatcher
from hillfield.routing.requests import Answered, Arrival, Broken, Done, Wait

HERE = Locality('north', 'a', 'h1')
KINDS = ((HealthDetector, Dispatcher), (BaselineDetector, BaselineDispatcher))


def make_arrival(name: str, idempotent: bool = True) -> Arrival:
    plan = RequestPlan('claims', 'r', 'desk', idempotent, 2)
    return Arrival(name, plan, 2, True)


def make_targets(count: int) -> tuple[Target, ...]:
    return tuple(
        Target(
            TargetId('claims', Address('127.0.0.1', 9000 + place), 1),
            HERE,
            1,
            400,
        )
        for place in range(count)
    )


def make_table(detector: Any = HealthDetector, kind: Any = Dispatcher) -> Any:
    return DispatcherTable(HERE, detector, Random(1), kind)


class RecordingDetector(HealthDetector):
    """Record the evidence received from other nodes."""

    def __init__(self, policy: ServicePolicy, locality: Locality) -> None:
        super().__init__(policy, locality)
        self.received: list[Any] = []

    def adopt_evidence(
        self,
        now: float,
        node: str,
        domain: str,
        evidence: tuple[Evidence, ...],
    ) -> None:
        self.received.append((now, node, evidence))


@mark.parametrize(('detector', 'dispatcher'), KINDS)
def test_service_is_known_before_its_policy_and_targets(detector, dispatcher):
    table = make_table(detector, dispatcher)
    decision = table.for_service('claims').admit(0, make_arrival('a'))
    assert decision.failure.outcome is Outcome.NOT_RUN
    table.adopt_targets(1, 'claims', make_targets(2))
    table.adopt_policy(1, ServicePolicy('claims', floor=0.9))
    send = table.for_service('claims').admit(1, make_arrival('b'))
    assert send.target.service == 'claims'
    assert table.services() == ('claims',)


@mark.parametrize(('detector', 'dispatcher'), KINDS)
def test_non_idempotent_is_sent_once(detector, dispatcher):
    table = make_table(detector, dispatcher)
    table.adopt_targets(0, 'claims', make_targets(2))
    found = table.for_service('claims')
    send = found.admit(0, make_arrival('a', idempotent=False))
    found.record_written(0, send.attempt)
    decision = found.finish(0.1, send.attempt, Broken('reset'))
    assert decision.failure.outcome is Outcome.UNKNOWN


def test_poll_tick_and_explain_cover_all_services():
    table = make_table()
    table.adopt_targets(0, 'claims', make_targets(1))
    found = table.for_service('claims')
    send = found.admit(0, make_arrival('a'))
    assert found.admit(0, make_arrival('b')) == Wait('b')
    assert [seen.code.name for seen in table.tick(0.1)] == ['OVERLOAD_STARTED']
    assert found.finish(0.1, send.attempt, Answered(200)) == Done('a')
    assert [decision.request for decision in table.poll(0.1)] == ['b']
    assert [seen.code.name for seen in table.tick(0.2)] == ['OVERLOAD_ENDED']
    explanation = table.explain(0.2, 'claims')
    assert (explanation.admitted, explanation.sent) == (2, 2)
    assert table.explain(0.2, 'other') is None


def test_evidence_of_a_node_is_replaced_and_withdrawn():
    table = make_table(RecordingDetector)
    failing = make_targets(1)[0].id
    piece = Evidence(failing, Symptom.BROKEN, 50, 50, 1)
    detector = table.for_service('claims').detector
    table.for_service('other')
    table.adopt_evidence(1, 'n1', 'b', (piece,))
    table.adopt_evidence(2, 'n2', 'b', ())
    table.adopt_evidence(3, 'n1', 'b', ())
    table.adopt_evidence(4, 'n1', 'b', ())
    received = [(1, 'n1', (piece,)), (3, 'n1', ())]
    assert detector.received == received
    assert table.for_service('other').detector.received == []


def test_connection_limits_are_shared_by_all_nodes_also_in_a_partition():
    table = make_table()
    targets = tuple(replace(target, slots=8) for target in make_targets(3))
    table.adopt_targets(0, 'claims', targets)
    table.adopt_nodes(1, 200)
    loads = table.explain(1, 'claims').loads
    assert {load.limit for load in loads} == {2}
    table.adopt_nodes(2, 50)
    assert table.explain(2, 'claims').loads[0].limit == 2
    table.adopt_nodes(8000, 50)
    assert table.explain(8000, 'claims').loads[0].limit == 8


class CountingDetector(HealthDetector):
    """Count ticks."""

    def __init__(self, policy: ServicePolicy, locality: Locality) -> None:
        super().__init__(policy, locality)
        self.ticks = 0

    def tick(self, now: float) -> Any:
        self.ticks += 1
        return super().tick(now)


def test_quiet_services_are_ticked_once_a_second():
    """Ticking 260 idle services at each tick took 2% of a core."""
    table = make_table(CountingDetector)
    detector = table.for_service('claims').detector
    for number in range(1000):
        table.tick(number / 10)
    assert 300 <= detector.ticks <= 400
    table.for_service('claims')
    before = detector.ticks
    for number in range(1000, 1010):
        table.tick(number / 10)
    assert detector.ticks == before + 10


def test_evidence_creates_no_dispatcher():
    """A node only creates dispatchers of services that its callers use."""
    table = make_table()
    identity = TargetId('claims', Address('127.0.0.1', 9000), 1)
    evidence = (Evidence(identity, Symptom.WRONG, 4, 4, 1),)
    table.adopt_evidence(0, 'node-2', 'north', evidence)
    assert not table.services()


def test_a_service_with_a_long_request_is_not_quiet():
    """A request may be in flight for longer than a service counts as used."""
    table = make_table(CountingDetector)
    table.adopt_targets(0, 'claims', make_targets(2))
    found = table.for_service('claims')
    send = found.admit(0, make_arrival('a'))
    for number in range(1000):
        table.tick(number / 10)
    assert found.detector.ticks == 1000
    found.finish(100, send.attempt, Answered(200))
    assert found.is_idle()
