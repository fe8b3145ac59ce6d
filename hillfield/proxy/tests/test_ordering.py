"""Order of answers, without a network."""

# Tests are untyped, so are the doubles that they share.
# mypy: disable-error-code="no-untyped-call, arg-type"

import asyncio

from hypothesis import given
from hypothesis import strategies as st

from hillfield.proxy.ordering import AnswerOrder

DEPTH = 4
LIMIT = 100


class Answer:
    """Note when it may be written."""

    def __init__(self, held=0, closing=False):
        self.held = held
        self.closing = closing
        self.came = False
        self.left = False

    def open(self):
        assert not self.came
        self.came = True

    def leave(self):
        self.left = True


def join(order, *answers):
    for answer in answers:
        order.join(answer, answer.leave)


def test_the_first_takes_its_turn_at_once():
    order = AnswerOrder(DEPTH, LIMIT)
    first, second = Answer(), Answer()
    join(order, first, second)
    assert first.came
    assert not second.came


async def test_the_next_takes_its_turn_once_the_first_has_ended():
    order = AnswerOrder(DEPTH, LIMIT)
    first, second = Answer(), Answer()
    join(order, first, second)
    order.advance(second)
    assert not second.came
    order.advance(first)
    assert second.came


async def test_nothing_follows_an_answer_that_closes():
    order = AnswerOrder(DEPTH, LIMIT)
    first, second = Answer(closing=True), Answer()
    join(order, first, second)
    order.advance(first)
    assert not second.came


def test_room_ends_with_the_depth():
    order = AnswerOrder(2, LIMIT)
    join(order, Answer())
    assert order.accepts_more()
    join(order, Answer())
    assert not order.accepts_more()


def test_room_ends_with_what_is_held():
    order = AnswerOrder(DEPTH, LIMIT)
    join(order, Answer(), Answer(LIMIT))
    assert order.accepts_more()
    join(order, Answer(1))
    assert not order.accepts_more()


def test_the_last_read_closes():
    order = AnswerOrder(DEPTH, LIMIT)
    assert not order.close_after_last()
    first, last = Answer(), Answer()
    join(order, first, last)
    assert order.close_after_last()
    assert not first.closing
    assert last.closing


async def test_leaving_cancels_all_and_wakes_who_waits():
    order = AnswerOrder(DEPTH, LIMIT)
    answers = [Answer(), Answer()]
    join(order, *answers)
    waiting = asyncio.create_task(order.wait())
    await asyncio.sleep(0)
    order.cancel_all()
    await waiting
    assert all(answer.left for answer in answers)
    assert not order.is_busy()


@given(st.lists(st.integers(0, 9)))
def test_turns_come_in_the_order_of_joining(ends):
    async def play():
        order = AnswerOrder(DEPTH, LIMIT)
        answers = [Answer() for _ in range(10)]
        join(order, *answers)
        due = 0
        for number in ends:
            order.advance(answers[number])
            due += number == due
            came = [answer.came for answer in answers]
            assert came == [turn <= due for turn in range(len(answers))]

    asyncio.run(play())
