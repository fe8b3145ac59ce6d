"""When a started node knows the departures of its targets."""

from itertools import pairwise

from pytest import fixture, mark

from hillfield.announcements.departures import (
    DEPARTURE_SECONDS,
    FIRST_QUESTION_AFTER,
    LONGEST_INTERVAL,
    MAXIMUM_DEPARTURES,
    MEMORY_QUESTIONS,
    Departure,
    DepartureAnswer,
    DepartureInquiry,
    DepartureMemory,
    Voucher,
)

HERE = 'hall-a'
THERE = 'hall-b'
VOUCHES = DepartureAnswer((), vouches=True, others=9)


@fixture
def inquiry():
    return DepartureInquiry(float())


def vouch(inquiry, *nodes, domain=HERE, answer=VOUCHES):
    """Let nodes answer; return whether the last answer suffices."""
    known = False
    for node in nodes:
        known = inquiry.add_answer(Voucher(node, domain), answer)
    return known


def test_the_store_may_answer_before_others_are_asked(inquiry):
    # Guards against datagrams at each start.
    assert not inquiry.is_due(FIRST_QUESTION_AFTER - 0.01)
    assert inquiry.is_due(FIRST_QUESTION_AFTER)


def test_silence_is_no_knowledge(inquiry):
    # Guards against a wait that ends without what it waits for.
    assert not vouch(inquiry, 'n2', 'n3', 'n4', answer=DepartureAnswer(()))


def test_one_failure_domain_does_not_vouch_for_itself(inquiry):
    # Guards against nodes that were killed together and agree on nothing.
    assert not vouch(inquiry, 'n2', 'n3', 'n4')
    assert vouch(inquiry, 'n5', domain=THERE)


def test_one_node_that_answers_often_is_one(inquiry):
    # Guards against a lost notice that repeated answers hide.
    assert not vouch(inquiry, 'n2', 'n2', 'n2', domain=THERE)


def test_all_others_suffice_however_few(inquiry):
    # Guards against small fleets that wait for nodes which don't exist.
    alone = DepartureAnswer((), vouches=True, others=1)
    assert vouch(inquiry, 'n2', answer=alone)


def test_one_node_suffices_where_the_others_cannot_vouch(inquiry):
    # Guards against targets without requests after most nodes have started.
    assert not vouch(inquiry, 'n2')
    for number in range(MEMORY_QUESTIONS):
        assert not inquiry.wants_reading()
        inquiry.record_asked(float(number))
    assert inquiry.wants_reading()
    assert vouch(inquiry, 'n2')


def test_questions_become_rare_while_nobody_knows(inquiry):
    # Guards against datagrams without end in a long outage.
    moments = []
    for step in range(600):
        now = step / 10
        if inquiry.is_due(now):
            moments.append(now)
            inquiry.record_asked(now)
    gaps = [after - before for before, after in pairwise(moments)]
    assert len(moments) <= 60 / LONGEST_INTERVAL + 8
    assert max(gaps) < LONGEST_INTERVAL + 0.2


def test_the_latest_departures_are_remembered_for_their_time():
    # Guards against memory that grows with each release of the targets.
    memory = DepartureMemory()
    for number in range(MAXIMUM_DEPARTURES + 1):
        memory.add(0, f'host-{number}', [Departure('i-1', 50)])
    assert not memory.recall(1, 'host-0')
    assert memory.recall(DEPARTURE_SECONDS, 'host-1')
    assert not memory.recall(DEPARTURE_SECONDS + 1, 'host-1')


@mark.parametrize('starts', [(50, 60), (60, 50)])
def test_the_later_start_of_one_name_counts(starts):
    # Guards against a notice that comes late and undoes a later one.
    memory = DepartureMemory()
    for start in starts:
        memory.add(0, 'host-1', [Departure('i-1', start)])
    assert memory.recall(1, 'host-1') == (Departure('i-1', 60),)
