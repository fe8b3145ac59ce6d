"""When load reports are due."""

from dataclasses import dataclass
from random import Random

from msgspec.structs import replace
from pytest import mark

from hillfield.loadreports import Held, LoadReport, ReportCodec, ReportPacer
from hillfield.loadreports.pacing import (
    DATAGRAM_BURST,
    DATAGRAM_RATE,
    FAR_GAP,
    FAR_REFRESH,
    NEAR_GAP,
    NEAR_REFRESH,
)

SLOTS = 5
LISTENERS = 9
ROOM = LoadReport('s', '10.0.0.1', 80, 1, 1, 4)
FULL = replace(ROOM, free=0)


@dataclass
class Telling:
    """Count what is told near and far."""

    pacer: ReportPacer
    near: int = 0
    far: int = 0

    def note(self, now, report):
        near = self.pacer.is_due_near(now, report, SLOTS, LISTENERS)
        far = self.pacer.is_due_far(now, report)
        self.near += near
        self.far += far
        return self.near, self.far


def start():
    return Telling(ReportPacer())


def test_the_first_report_is_due_everywhere():
    assert start().note(10, ROOM) == (1, 1)


def test_a_slot_more_or_less_is_no_news():
    telling = start()
    telling.note(10, ROOM)
    fuller = replace(ROOM, free=1)
    assert telling.note(10.1, fuller) == (1, 1)


def test_the_last_slot_is_news_at_once_near_and_later_far():
    telling = start()
    telling.note(10, ROOM)
    assert telling.note(10 + 2 * NEAR_GAP, FULL) == (2, 1)
    assert telling.note(10 + 2 * FAR_GAP, FULL) == (2, 2)


def test_what_is_held_back_is_news():
    telling = start()
    telling.note(10, ROOM)
    holding = replace(ROOM, held=Held.ALL)
    assert telling.note(10.3, holding) == (2, 2)


def test_the_length_of_the_line_is_news_only_near():
    telling = start()
    telling.note(10, FULL)
    assert telling.note(10.3, replace(FULL, waiting=3)) == (2, 1)
    assert telling.note(10.6, replace(FULL, waiting=4)) == (2, 1)
    assert telling.note(10.9, replace(FULL, waiting=9)) == (3, 1)


def test_datagrams_that_got_lost_are_made_good():
    telling = start()
    telling.note(10, FULL)
    assert telling.note(10 + NEAR_REFRESH, FULL) == (2, 1)
    assert telling.note(10 + FAR_REFRESH, FULL) == (3, 2)


@mark.parametrize('seed', range(20))
def test_no_load_makes_a_node_send_more_than_its_rate(seed):
    random = Random(seed)
    longest = random.choice((0.001, 0.01, 0.1, 1))
    telling = start()
    now = float()
    for _ in range(400):
        now += random.uniform(0, longest)
        free, waiting = random.randrange(2), random.randrange(20)
        telling.note(now, replace(ROOM, free=free, waiting=waiting))
    sent = telling.near * LISTENERS
    allowed = DATAGRAM_BURST + DATAGRAM_RATE * now
    assert sent <= allowed + LISTENERS
    assert telling.far <= 1 + now / FAR_GAP


def test_bytes_that_are_no_report_are_refused():
    codec = ReportCodec(b'key')
    sealed = codec.seal(ROOM)
    cut = sealed[:-1]
    malformed = b''.join((cut, b'\xc1'))
    for wrong in (b'', b'stray' * 8, cut, malformed):
        assert codec.open(wrong) is None


def test_a_report_fits_in_a_small_datagram():
    """Figured with 90 bytes in the bound of what a node sends."""
    assert len(ReportCodec(b'key').seal(ROOM)) <= 62


def test_what_can_wait_leaves_datagrams_for_what_presses():
    """A target told as full can be told as free again at once."""
    telling = start()
    now = float()
    for step in range(100):
        now = 10 + 2 * step * NEAR_GAP
        waiting = step % 2 * SLOTS
        telling.note(now, replace(FULL, waiting=waiting))
    before = telling.near
    assert before < 100 / 4
    now += 2 * NEAR_GAP
    telling.note(now, ROOM)
    assert telling.near == before + 1


def test_who_was_told_by_an_answer_hears_when_it_no_longer_holds():
    """A node that an answer told of a full target avoided it for seconds."""
    telling = start()
    telling.note(10, ROOM)
    telling.pacer.note_answer(10.1, FULL)
    assert telling.note(10.2, ROOM) == (2, 1)
    assert telling.note(10.3, ROOM) == (2, 2)
    assert telling.note(10.9, ROOM) == (2, 2)


def test_an_answer_that_says_what_all_know_is_no_news():
    telling = start()
    telling.note(10, ROOM)
    telling.pacer.note_answer(10.1, replace(ROOM, free=1, number=2))
    assert telling.note(10.5, ROOM) == (1, 1)


def test_room_again_after_an_answer_presses():
    """It is told with the last datagrams, as after all were told."""
    telling = start()
    now = float(10)
    while telling.pacer.is_due_near(now, ROOM, SLOTS, LISTENERS):
        telling.pacer.note_answer(now, FULL)
        now += 2 * NEAR_GAP
    later = now + LISTENERS / DATAGRAM_RATE
    assert telling.pacer.is_due_near(later, ROOM, SLOTS, LISTENERS)


def test_answers_before_anything_is_told_change_nothing():
    telling = start()
    telling.pacer.note_answer(9, FULL)
    assert telling.note(10, ROOM) == (1, 1)


@mark.parametrize('seed', range(10))
def test_no_answers_make_a_node_send_more_than_its_rate(seed):
    random = Random(seed)
    telling = start()
    now = float()
    for _ in range(400):
        now += random.uniform(0, 0.05)
        report = replace(ROOM, free=random.randrange(2))
        if random.randrange(2):
            telling.pacer.note_answer(now, report)
        else:
            telling.note(now, report)
    allowed = DATAGRAM_BURST + DATAGRAM_RATE * now
    assert telling.near * LISTENERS <= allowed + LISTENERS
    assert telling.far <= 1 + now / FAR_GAP
