"""Order of answers, without a network."""

# The tests and their shared doubles are untyped.
# mypy: disable-error-code="no-untyped-call, arg-type"

import asyncio

from hypothesis import given
from hypothesis import strategies as st

from hillfield.proxy.ordering import AnswerOrder

DEPTH = 4
LIMIT = 100


class Answer:
    """Answer that records when it may be written."""

    def __init__(self, held=0, closing=False):
        self.held = held
        self.closing = closing
        self.opened = False
        self.cancelled = False

    def open(self):
        assert not self.opened
        self.opened = True

    def cancel(self):
        self.cancelled = True


def join(order, *answers):
    for answer in answers:
        order.join(answer, answer.cancel)


def test_first_slot_opens_immediately():
    order = AnswerOrder(DEPTH, LIMIT)
    first, second = Answer(), Answer()
    join(order, first, second)
    assert first.opened
    assert not second.opened


async def test_next_slot_opens_once_the_first_has_ended():
    order = AnswerOrder(DEPTH, LIMIT)
    first, second = Answer(), Answer()
    join(order, first, second)
    order.advance(second)
    assert not second.opened
    order.advance(first)
    assert second.opened


async def test_no_slot_opens_after_an_answer_that_closes():
    order = AnswerOrder(DEPTH, LIMIT)
    first, second = Answer(closing=True), Answer()
    join(order, first, second)
    order.advance(first)
    assert not second.opened


def test_requests_are_bounded_by_the_depth():
    order = AnswerOrder(2, LIMIT)
    join(order, Answer())
    assert order.accepts_more()
    join(order, Answer())
    assert not order.accepts_more()


def test_requests_are_bounded_by_buffered_bytes():
    order = AnswerOrder(DEPTH, LIMIT)
    join(order, Answer(), Answer(LIMIT))
    assert order.accepts_more()
    join(order, Answer(1))
    assert not order.accepts_more()


def test_last_request_read_closes():
    order = AnswerOrder(DEPTH, LIMIT)
    assert not order.close_after_last()
    first, last = Answer(), Answer()
    join(order, first, last)
    assert order.close_after_last()
    assert not first.closing
    assert last.closing


async def test_cancel_all_wakes_the_reader():
    order = AnswerOrder(DEPTH, LIMIT)
    answers = [Answer(), Answer()]
    join(order, *answers)
    waiting = asyncio.create_task(order.wait())
    await asyncio.sleep(0)
    order.cancel_all()
    await waiting
    assert all(answer.cancelled for answer in answers)
    assert not order.is_busy()


@given(st.lists(st.integers(0, 9)))
def test_slots_open_in_order(ends):
    async def join_and_advance():
        order = AnswerOrder(DEPTH, LIMIT)
        answers = [Answer() for _ in range(10)]
        join(order, *answers)
        due = 0
        for number in ends:
            order.advance(answers[number])
            due += number == due
            opened = [answer.opened for answer in answers]
            assert opened == [
                position <= due for position in range(len(answers))
            ]

    asyncio.run(join_and_advance())
