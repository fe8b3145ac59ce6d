"""When load reports are due."""

from dataclasses import dataclass
from random import Random

from msgspec.structs import replace
from pytest import mark

from hillfield.loadreports import (
    LoadReport,
    ReportCodec,
    ReportPacer,
    WithheldWork,
)
from hillfield.loadreports.pacing import (
    DATAGRAM_BURST,
    DATAGRAM_RATE,
    FAR_INTERVAL,
    FAR_REFRESH,
    NEAR_INTERVAL,
    NEAR_REFRESH,
)

SLOTS = 5
RECEIVERS = 9
FREE = LoadReport('s', '10.0.0.1', 80, 1, 1, 4)
FULL = replace(FREE, free=0)


@dataclass
class SentReports:
    """Count the reports sent near and far."""

    pacer: ReportPacer
    near: int = 0
    far: int = 0

    def record(self, now, report):
        near = self.pacer.is_due_near(now, report, SLOTS, RECEIVERS)
        far = self.pacer.is_due_far(now, report)
        self.near += near
        self.far += far
        return self.near, self.far


def start():
    return SentReports(ReportPacer())


def test_the_first_report_is_due_everywhere():
    assert start().record(10, FREE) == (1, 1)


def test_a_slot_more_or_less_is_not_reported():
    sent_reports = start()
    sent_reports.record(10, FREE)
    fuller = replace(FREE, free=1)
    assert sent_reports.record(10.1, fuller) == (1, 1)


def test_the_last_slot_is_reported_at_once_near_and_later_far():
    sent_reports = start()
    sent_reports.record(10, FREE)
    assert sent_reports.record(10 + 2 * NEAR_INTERVAL, FULL) == (2, 1)
    assert sent_reports.record(10 + 2 * FAR_INTERVAL, FULL) == (2, 2)


def test_a_change_of_withheld_work_is_reported():
    sent_reports = start()
    sent_reports.record(10, FREE)
    withholding = replace(FREE, held=WithheldWork.ALL)
    assert sent_reports.record(10.3, withholding) == (2, 2)


def test_the_queue_length_is_reported_only_near():
    sent_reports = start()
    sent_reports.record(10, FULL)
    assert sent_reports.record(10.3, replace(FULL, waiting=3)) == (2, 1)
    assert sent_reports.record(10.6, replace(FULL, waiting=4)) == (2, 1)
    assert sent_reports.record(10.9, replace(FULL, waiting=9)) == (3, 1)


def test_reports_are_repeated_for_lost_datagrams():
    sent_reports = start()
    sent_reports.record(10, FULL)
    assert sent_reports.record(10 + NEAR_REFRESH, FULL) == (2, 1)
    assert sent_reports.record(10 + FAR_REFRESH, FULL) == (3, 2)


@mark.parametrize('seed', range(20))
def test_no_load_makes_a_node_send_more_than_its_rate(seed):
    random = Random(seed)
    longest_gap = random.choice((0.001, 0.01, 0.1, 1))
    sent_reports = start()
    now = float()
    for _ in range(400):
        now += random.uniform(0, longest_gap)
        free, waiting = random.randrange(2), random.randrange(20)
        sent_reports.record(now, replace(FREE, free=free, waiting=waiting))
    sent = sent_reports.near * RECEIVERS
    allowed = DATAGRAM_BURST + DATAGRAM_RATE * now
    assert sent <= allowed + RECEIVERS
    assert sent_reports.far <= 1 + now / FAR_INTERVAL


def test_datagrams_that_are_no_report_are_refused():
    codec = ReportCodec(b'key')
    sealed = codec.seal(FREE)
    cut = sealed[:-1]
    malformed = b''.join((cut, b'\xc1'))
    for malformed_datagram in (b'', b'stray' * 8, cut, malformed):
        assert codec.open(malformed_datagram) is None


def test_a_report_fits_in_a_small_datagram():
    """The bound of what a node sends assumes 90 bytes."""
    assert len(ReportCodec(b'key').seal(FREE)) <= 62


def test_reports_that_can_wait_leave_datagrams_for_urgent_ones():
    """A target reported as full can be reported as free again at once."""
    sent_reports = start()
    now = float()
    for step in range(100):
        now = 10 + 2 * step * NEAR_INTERVAL
        waiting = step % 2 * SLOTS
        sent_reports.record(now, replace(FULL, waiting=waiting))
    before = sent_reports.near
    assert before < 100 / 4
    now += 2 * NEAR_INTERVAL
    sent_reports.record(now, FREE)
    assert sent_reports.near == before + 1


def test_a_node_informed_by_an_answer_is_informed_of_a_later_change():
    """A node that an answer told of a full target avoided it for seconds."""
    sent_reports = start()
    sent_reports.record(10, FREE)
    sent_reports.pacer.record_answer(10.1, FULL)
    assert sent_reports.record(10.2, FREE) == (2, 1)
    assert sent_reports.record(10.3, FREE) == (2, 2)
    assert sent_reports.record(10.9, FREE) == (2, 2)


def test_an_answer_without_a_change_causes_no_report():
    sent_reports = start()
    sent_reports.record(10, FREE)
    sent_reports.pacer.record_answer(10.1, replace(FREE, free=1, number=2))
    assert sent_reports.record(10.5, FREE) == (1, 1)


def test_capacity_again_after_an_answer_is_urgent():
    """It is sent with the last datagrams, as after a report to all nodes."""
    sent_reports = start()
    now = float(10)
    while sent_reports.pacer.is_due_near(now, FREE, SLOTS, RECEIVERS):
        sent_reports.pacer.record_answer(now, FULL)
        now += 2 * NEAR_INTERVAL
    later = now + RECEIVERS / DATAGRAM_RATE
    assert sent_reports.pacer.is_due_near(later, FREE, SLOTS, RECEIVERS)


def test_answers_before_the_first_report_change_nothing():
    sent_reports = start()
    sent_reports.pacer.record_answer(9, FULL)
    assert sent_reports.record(10, FREE) == (1, 1)


@mark.parametrize('seed', range(10))
def test_no_answers_make_a_node_send_more_than_its_rate(seed):
    random = Random(seed)
    sent_reports = start()
    now = float()
    for _ in range(400):
        now += random.uniform(0, 0.05)
        report = replace(FREE, free=random.randrange(2))
        if random.randrange(2):
            sent_reports.pacer.record_answer(now, report)
        else:
            sent_reports.record(now, report)
    allowed = DATAGRAM_BURST + DATAGRAM_RATE * now
    assert sent_reports.near * RECEIVERS <= allowed + RECEIVERS
    assert sent_reports.far <= 1 + now / FAR_INTERVAL
