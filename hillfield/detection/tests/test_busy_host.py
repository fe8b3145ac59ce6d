"""A sick target on a host whose own answers are late at times.

Found by scenarios beside eight busy processes: nodes suspected a target
that had answered 18 of 18 requests much slower than its peers did, and
cleared it a second later; one that never answered stayed in rotation for
15 s. The load made the peers late as well, at some moments more than half
of the time.
"""

from hillfield.detection.tests.test_healthdetector import SICK, TARGETS, Service
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
    service.board.note_started(service.now, SICK, attempt)
    for _ in range(round(DEADLINE * 10)):
        work_peers(service, late_of_ten=4)
        service.pass_time()
    service.board.observe(service.now, SICK, attempt, TimedOut())


def test_a_target_that_never_answers_leaves_although_its_peers_are_late():
    """What is hung came after 16 times 70 ms, later than the deadline."""
    service = Service()
    for _ in range(30):
        work_peers(service, late_of_ten=4)
        service.call(SICK, FINE, USUAL)
        service.pass_time()
    for _ in range(6):
        hang(service)
    assert not service.serves()


def test_late_peers_do_not_clear_a_target_that_did_nothing_well():
    """The suspicion ends by the target's own good answers only."""
    service = Service()
    for _ in range(30):
        work_peers(service, late_of_ten=0)
        service.call(SICK, FINE, USUAL)
        service.pass_time()
    for _ in range(4):
        work_peers(service, late_of_ten=1)
        service.call(SICK, FINE, 2 * LATE)
        service.pass_time(0.02)
    service.pass_time()
    assert EventCode.TARGET_SUSPECTED in service.codes
    for _ in range(15):
        work_peers(service, late_of_ten=8)
        service.pass_time()
    assert EventCode.TARGET_CLEARED not in service.codes


def test_requests_do_not_hang_while_their_node_reads_no_answers():
    # Two requests of a well target were counted as hung after a late loop.
    service = Service()
    service.work(20, FINE, USUAL, everywhere=True)
    attempts = list(range(100000, 100004))
    for attempt in attempts:
        service.board.note_started(service.now, SICK, attempt)
    service.now += 2
    service.board.excuse(service.now, 1.9)
    service.pass_time(0)
    for told in attempts:
        service.board.note_head(service.now, SICK, told)
        service.board.observe(service.now, SICK, told, FINE)
    service.pass_time()
    assert EventCode.TARGET_SUSPECTED not in service.codes


def test_requests_that_hang_show_as_soon_after_a_late_loop():
    service = Service()
    service.work(20, everywhere=True)
    service.now += 2
    service.board.excuse(service.now, 1.9)
    for attempt in range(100000, 100006):
        service.board.note_started(service.now, SICK, attempt)
    for _ in range(15):
        work_peers(service, late_of_ten=0)
        service.pass_time()
    assert EventCode.TARGET_SUSPECTED in service.codes
