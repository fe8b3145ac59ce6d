"""Test the detection of an unhealthy target while its peers are late too.

With eight busy processes beside them, nodes suspected a target that had
answered 18 of 18 requests much slower than its peers and cleared it a second
later, and one that never answered stayed in rotation for 15 s. The load made
the peers late as well, at times in more than half of their answers.
"""

from hillfield.detection.tests.test_healthdetector import (
    TARGETS,
    UNHEALTHY,
    ServiceDriver,
)
from hillfield.events import EventCode
from hillfield.routing.requests import Answered, TimedOut

PEERS = tuple(target.id for target in TARGETS[1:])
USUAL = 0.07
LATE = 0.2
DEADLINE = 1.0
FINE = Answered(200)


def work_peers(service, late_of_ten):
    for number, peer in enumerate(PEERS):
        place = (service.attempt + number) % 10
        service.call(peer, FINE, LATE if place < late_of_ten else USUAL)


def hang(service):
    """Let one request wait at the target until its deadline."""
    service.attempt += 1
    attempt = service.attempt
    service.detector.record_start(service.now, UNHEALTHY, attempt)
    for _ in range(round(DEADLINE * 10)):
        work_peers(service, late_of_ten=4)
        service.pass_time()
    service.detector.observe(service.now, UNHEALTHY, attempt, TimedOut())


def test_target_that_never_answers_is_ejected_while_peers_are_late():
    """The limit for hung is 16 times 70 ms, which is beyond the deadline."""
    service = ServiceDriver()
    for _ in range(30):
        work_peers(service, late_of_ten=4)
        service.call(UNHEALTHY, FINE, USUAL)
        service.pass_time()
    for _ in range(6):
        hang(service)
    assert not service.serves()


def test_late_peers_do_not_clear_a_suspected_target():
    """Only the target's own good answers end the suspicion."""
    service = ServiceDriver()
    for _ in range(30):
        work_peers(service, late_of_ten=0)
        service.call(UNHEALTHY, FINE, USUAL)
        service.pass_time()
    for _ in range(4):
        work_peers(service, late_of_ten=1)
        service.call(UNHEALTHY, FINE, 2 * LATE)
        service.pass_time(0.02)
    service.pass_time()
    assert EventCode.TARGET_SUSPECTED in service.codes
    for _ in range(15):
        work_peers(service, late_of_ten=8)
        service.pass_time()
    assert EventCode.TARGET_CLEARED not in service.codes


def test_requests_do_not_hang_while_their_node_reads_no_answers():
    # After a late event loop two requests of a healthy target counted as hung.
    service = ServiceDriver()
    service.work(20, FINE, USUAL, everywhere=True)
    attempts = list(range(100000, 100004))
    for attempt in attempts:
        service.detector.record_start(service.now, UNHEALTHY, attempt)
    service.now += 2
    service.detector.discount_pause(service.now, 1.9)
    service.pass_time(0)
    for answered in attempts:
        service.detector.record_head(service.now, UNHEALTHY, answered)
        service.detector.observe(service.now, UNHEALTHY, answered, FINE)
    service.pass_time()
    assert EventCode.TARGET_SUSPECTED not in service.codes


def test_hanging_requests_are_detected_after_a_late_loop():
    service = ServiceDriver()
    service.work(20, everywhere=True)
    service.now += 2
    service.detector.discount_pause(service.now, 1.9)
    for attempt in range(100000, 100006):
        service.detector.record_start(service.now, UNHEALTHY, attempt)
    for _ in range(15):
        work_peers(service, late_of_ten=0)
        service.pass_time()
    assert EventCode.TARGET_SUSPECTED in service.codes
