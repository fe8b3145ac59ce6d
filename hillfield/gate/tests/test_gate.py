"""The gate's decisions, case by case."""

from msgspec.structs import replace
from pytest import fixture
from tornado.httputil import HTTPHeaders

from hillfield.events import EventCode, ListJournal
from hillfield.gate import Gate, GatePlans, HopDialect, ServedIncarnation
from hillfield.gate.admission import FULL, QUARANTINED
from hillfield.gate.health import ANY_TRIAL_DELAY
from hillfield.gate.hop import HopInstructions, write_hop
from hillfield.gate.waiting import MAXIMUM_WAIT
from hillfield.model import (
    Address,
    AnswerChecks,
    Locality,
    Outcome,
    RepeatKind,
    RequestPlan,
    Target,
    TargetId,
    TargetState,
    Urgency,
)
from hillfield.proxy.ports import RequestHead
from hillfield.routing.declining import Declined
from hillfield.routing.requests import (
    Answered,
    Arrival,
    Broken,
    CallerGone,
    ConnectFailed,
    Refuse,
    Send,
    Shed,
    TimedOut,
    Wait,
)

IDENTITY = TargetId('refunds', Address('127.0.0.1', 8000), 7)
TARGET = Target(IDENTITY, Locality('north', 'a', 'h1'), 2, 300)
SERVED = ServedIncarnation(TARGET, 'i-1')


@fixture
def gate():
    opened = Gate(ListJournal())
    opened.serve(SERVED)
    return opened


def arrive(name, now=0, trial=False, priority=0, left=4, **more):
    plan = RequestPlan(
        'refunds',
        '',
        '',
        idempotent=trial,
        deadline=left,
        maximum_attempts=1,
        priority=priority,
        trial=trial,
        **more,
    )
    return Arrival(name, plan, now + left, True)


def run(gate, name, observation, now=0, trial=False):
    sent = gate.admit(now, arrive(name, now, trial))
    assert isinstance(sent, Send), sent
    gate.record_written(now, sent.attempt)
    return gate.finish(now, sent.attempt, observation)


def test_a_free_slot_is_used_at_once(gate):
    decision = gate.admit(0, arrive('a'))
    assert isinstance(decision, Send)
    assert decision.address == IDENTITY.address


def test_no_more_requests_than_slots_are_at_the_target(gate):
    sent = [gate.admit(0, arrive(name)) for name in 'ab']
    assert all(isinstance(decision, Send) for decision in sent)
    assert isinstance(gate.admit(0, arrive('c')), Wait)
    assert not gate.poll(0.1)
    gate.record_written(0.1, sent[0].attempt)
    gate.finish(0.2, sent[0].attempt, Answered(200))
    assert [served.request for served in gate.poll(0.2)] == ['c']


def test_the_more_urgent_goes_first(gate):
    sent = [gate.admit(0, arrive(name)) for name in 'ab']
    gate.admit(0, arrive('late', priority=2))
    gate.admit(0, arrive('urgent', priority=1))
    gate.finish(0.1, sent[0].attempt, Answered(200))
    assert [served.request for served in gate.poll(0.1)] == ['urgent']


def test_a_request_behind_a_long_queue_is_refused_with_a_retry_time(gate):
    run(gate, 'slow', Answered(200))
    sent = gate.admit(0, arrive('x'))
    gate.finish(2, sent.attempt, Answered(200))
    for name in 'ab':
        gate.admit(2, arrive(name, 2))
    decision = gate.admit(2, arrive('c', 2))
    assert isinstance(decision, Refuse)
    assert decision.failure.outcome is Outcome.NOT_RUN
    assert decision.failure.status == 503
    assert decision.failure.retry_after
    assert decision.failure.retry_after > MAXIMUM_WAIT


def test_one_broken_connection_causes_quarantine(gate):
    """87 requests that must not run twice met targets that reset them."""
    run(gate, 'a', Broken('reset'))
    decision = gate.admit(0.1, arrive('b', 0.1))
    assert isinstance(decision, Refuse)
    assert decision.failure.outcome is Outcome.NOT_RUN


def test_two_errors_in_a_row_cause_quarantine(gate):
    run(gate, 'a', Answered(500))
    run(gate, 'b', Answered(500))
    decision = gate.admit(0.1, arrive('c', 0.1))
    assert isinstance(decision, Refuse)
    assert decision.failure.outcome is Outcome.NOT_RUN


def test_errors_due_to_failed_calls_cause_no_quarantine(gate):
    """After a loss of power, all targets of a service were quarantined.

    Their calls to an overloaded service failed, and so did their own requests.
    """
    for number in range(10):
        now = float(number)
        sent = gate.admit(now, arrive(f'r{number}', now))
        gate.failed_calls.record(now + 0.1, 'fees')
        gate.finish(now + 0.2, sent.attempt, Answered(500))
    assert isinstance(gate.admit(10, arrive('next', 10)), Send)


def test_errors_are_evidence_where_only_the_own_service_fails(gate):
    for number in range(2):
        sent = gate.admit(number, arrive(f'r{number}', number))
        gate.failed_calls.record(number + 0.1, 'refunds')
        gate.finish(number + 0.2, sent.attempt, Answered(500))
    assert isinstance(gate.admit(3, arrive('next', 3)), Refuse)


def test_requests_that_hang_cause_quarantine_before_they_end(gate):
    first = gate.admit(0, arrive('a'))
    gate.finish(0.1, first.attempt, Answered(200))
    for name in 'bc':
        sent = gate.admit(1, arrive(name, 1))
        gate.record_written(1, sent.attempt)
    gate.poll(1.4)
    settling = arrive('d', 1.4, urgency=Urgency.ALLOW_SUSPECTED)
    assert isinstance(gate.admit(1.4, settling), Wait)
    gate.poll(2)
    assert isinstance(gate.admit(2, arrive('e', 2)), Refuse)


def test_the_most_urgent_request_is_sent_to_a_quarantined_target(gate):
    run(gate, 'a', Broken('reset'))
    assert isinstance(gate.admit(0.1, arrive('b', 0.1)), Refuse)
    allows_quarantined = arrive('c', 0.1, urgency=Urgency.ALLOW_QUARANTINED)
    allows_any = arrive('d', 0.1, urgency=Urgency.ALLOW_ANY)
    assert isinstance(gate.admit(0.1, allows_quarantined), Refuse)
    assert isinstance(gate.admit(0.1, allows_any), Send)


def test_an_urgent_request_is_sent_where_success_is_likely(gate):
    """Requests were sent to targets that reset 85 in 100 connections."""
    run(gate, 'a', Broken('reset'))
    run(gate, 'b', Answered(200), 0.2, trial=True)
    allows_quarantined = arrive('c', 0.3, urgency=Urgency.ALLOW_QUARANTINED)
    assert isinstance(gate.admit(0.3, allows_quarantined), Send)


def test_an_urgent_request_is_refused_without_a_connection(gate):
    run(gate, 'a', ConnectFailed('refused'))
    allows_quarantined = arrive('b', 0.1, urgency=Urgency.ALLOW_QUARANTINED)
    assert isinstance(gate.admit(0.1, allows_quarantined), Refuse)


def test_a_quarantined_target_recovers_by_trials_of_idempotent_work(gate):
    run(gate, 'a', Broken('reset'))
    now = 0.3
    while isinstance(gate.admit(now, arrive(f'u{now}', now)), Refuse):
        run(gate, f's{now}', Answered(200), now, trial=True)
        now += 0.3
        assert now < 5
    assert now < ANY_TRIAL_DELAY


def test_each_success_lets_one_more_trial_run_at_once(gate):
    run(gate, 'a', Broken('reset'))
    run(gate, 'b', Answered(200), 0.3, trial=True)
    trials = [arrive(name, 0.4, trial=True) for name in 'cd']
    both = [gate.admit(0.4, trial) for trial in trials]
    assert all(isinstance(decision, Send) for decision in both)


def test_without_retries_a_quarantined_target_is_still_tried(gate):
    """After a loss of power, all targets stayed in quarantine for good.

    No request was answered, so the retry budget stayed empty, and without
    retries no request was a trial: 341 of 350 requests were refused.
    """
    run(gate, 'a', Broken('reset'))
    once = arrive('b', ANY_TRIAL_DELAY + 0.1)
    assert isinstance(gate.admit(ANY_TRIAL_DELAY + 0.1, once), Send)


def test_one_trial_at_a_time(gate):
    run(gate, 'a', Broken('reset'))
    first = gate.admit(0.3, arrive('c', 0.3, trial=True))
    second = gate.admit(0.6, arrive('d', 0.6, trial=True))
    assert isinstance(first, Send)
    assert isinstance(second, Refuse)


def count_trials(gate, seconds):
    sent = 0
    for step in range(int(seconds / 0.05)):
        now = 0.05 * step
        decision = gate.admit(now, arrive(f't{step}', now, trial=True))
        if isinstance(decision, Send):
            sent += 1
            gate.record_written(now, decision.attempt)
            gate.finish(now, decision.attempt, Broken('reset'))
    return sent


def test_failing_trials_become_rare(gate):
    """Trials of 8 targets, one per 0.15 s each, used up a retry budget."""
    assert count_trials(gate, 5) <= 8


def test_four_good_trials_end_quarantine_after_many_failed_ones(gate):
    count_trials(gate, 5)
    for number in range(4):
        now = 6.2 + number / 10
        assert isinstance(gate.admit(now, arrive(f'u{number}', now)), Refuse)
        run(gate, f'g{number}', Answered(200), now, trial=True)
    assert isinstance(gate.admit(7, arrive('once', 7)), Send)


def test_usual_failures_among_good_answers_cause_no_quarantine(gate):
    for number in range(100):
        ending = Answered(500) if number % 20 == 0 else Answered(200)
        run(gate, f'r{number}', ending, number / 10)


def test_a_request_that_was_never_sent_has_not_run(gate):
    decision = run(gate, 'a', Shed())
    assert decision.failure.outcome is Outcome.NOT_RUN
    sent = gate.admit(0, arrive('b'))
    failed = gate.finish(0, sent.attempt, ConnectFailed('refused'))
    assert failed.failure.outcome is Outcome.NOT_RUN


def test_a_request_that_was_sent_and_lost_is_unknown(gate):
    for lost in (Broken('reset'), TimedOut()):
        decision = run(gate, str(lost), lost)
        assert decision.failure.outcome is Outcome.UNKNOWN
        gate.serve(None)
        gate.serve(SERVED)


def test_a_leaving_target_gets_no_new_work_and_keeps_what_it_has(gate):
    sent = gate.admit(0, arrive('a'))
    gate.admit(0, arrive('b'))
    assert isinstance(gate.admit(0, arrive('waits')), Wait)
    draining = replace(TARGET, state=TargetState.DRAINING)
    gate.serve(ServedIncarnation(draining, 'i-1'))
    decisions = gate.poll(0.1)
    assert len(decisions) == 1
    assert decisions[0].failure.outcome is Outcome.NOT_RUN
    assert isinstance(gate.admit(0.1, arrive('c', 0.1)), Refuse)
    assert gate.finish(0.2, sent.attempt, Answered(200)).request == 'a'


def test_a_caller_that_leaves_frees_the_slot(gate):
    sent = [gate.admit(0, arrive(name)) for name in 'ab']
    gate.admit(0, arrive('c'))
    gate.cancel(0.1, 'c')
    gate.finish(0.1, sent[0].attempt, CallerGone())
    assert not gate.poll(0.1)
    assert isinstance(gate.admit(0.1, arrive('d', 0.1)), Send)


def test_a_new_incarnation_starts_as_healthy(gate):
    run(gate, 'a', Broken('reset'))
    later = replace(TARGET, id=replace(IDENTITY, incarnation=8))
    gate.serve(ServedIncarnation(later, 'i-2'))
    assert isinstance(gate.admit(0.1, arrive('c', 0.1)), Send)


def test_events_record_serving_and_quarantine():
    journal = ListJournal()
    gate = Gate(journal)
    gate.serve(SERVED)
    run(gate, 'a', Broken('reset'))
    gate.serve(None)
    codes = [occurrence.code for occurrence in journal.occurrences]
    assert codes == [
        EventCode.GATE_SEATED,
        EventCode.GATE_SHUNNED,
        EventCode.GATE_EMPTY,
    ]


def resolve(gate, **changed):
    order = HopInstructions(
        'refunds',
        7,
        1,
        'desk',
        idempotent=True,
        trial=True,
    )
    fields = {name: getattr(order, name) for name in order.__struct_fields__}
    hop = write_hop(HopInstructions(**{**fields, **changed}))
    head = RequestHead('POST', '/x', '', '', host='h', hop=hop)
    return GatePlans(gate, AnswerChecks()).resolve(head)


def test_a_hop_for_the_served_incarnation_is_planned(gate):
    plan = resolve(gate).ok
    assert (plan.origin, plan.priority, plan.trial) == ('desk', 1, True)
    assert plan.maximum_attempts == 1


def test_a_hop_for_another_incarnation_or_service_is_refused(gate):
    for changed in ({'incarnation': 6}, {'service': 'claims'}):
        failure = resolve(gate, **changed).error
        assert failure.outcome is Outcome.NOT_RUN
        assert failure.status == 503
    gate.closing = True
    assert resolve(gate).is_error()


def test_a_malformed_hop_names_the_header(gate):
    head = RequestHead('GET', '/x', '', '', hop='[1]')
    failure = GatePlans(gate, AnswerChecks()).resolve(head).error
    assert failure.status == 400
    assert 'Hillfield-Hop' in failure.detail


def test_the_hop_dialect_distinguishes_refusals():
    dialect = HopDialect()
    headers = HTTPHeaders(
        {'Hillfield-Outcome': 'not-run', 'Hillfield-Step': 'admit'},
    )
    assert isinstance(dialect.read_failure(503, headers), Declined)
    headers['Hillfield-Step'] = 'await-answer'
    assert isinstance(dialect.read_failure(503, headers), Shed)
    headers['Hillfield-Outcome'] = 'unknown'
    assert isinstance(dialect.read_failure(502, headers), Broken)
    assert isinstance(dialect.read_failure(504, headers), TimedOut)
    assert dialect.read_failure(500, HTTPHeaders()) is None


def read_decline(step, cause):
    headers = HTTPHeaders(
        {
            'Hillfield-Outcome': 'not-run',
            'Hillfield-Step': step,
            'Hillfield-Event': str(int(cause.event)),
        },
    )
    return HopDialect().read_failure(503, headers)


def test_the_hop_dialect_detects_lasting_refusals():
    """Gates were asked again and again, since the reason was not sent."""
    passing = Declined('at step admit')
    lasting = replace(passing, lasting=True)
    assert read_decline('admit', FULL) == passing
    assert read_decline('admit', QUARANTINED) == lasting
    assert read_decline('route', FULL) == Declined('at step route', None, True)


def hold_slots(gate, now):
    return [gate.admit(now, arrive(name, now)) for name in 'xy']


def test_a_request_waits_as_long_as_its_answer_is_in_time(gate):
    """Full gates declined requests that had seconds left, to other domains."""
    run(gate, 'slow', Answered(200))
    sent = gate.admit(0, arrive('x'))
    gate.finish(1.2, sent.attempt, Answered(200))
    hold_slots(gate, 2)
    patient = arrive('a', 2, left=10, aim=3)
    impatient = arrive('b', 2, left=10, aim=3, spent=2.5)
    assert isinstance(gate.admit(2, impatient), Refuse)
    assert isinstance(gate.admit(2, patient), Wait)


def test_hanging_slots_do_not_shorten_the_expected_wait(gate):
    run(gate, 'usual', Answered(200))
    sent = gate.admit(0, arrive('x'))
    gate.finish(0.3, sent.attempt, Answered(200))
    hold_slots(gate, 2)
    assert isinstance(gate.admit(2.1, arrive('a', 2.1, trial=True)), Wait)
    gate.cancel(2.1, 'a')
    gate.poll(30)
    allows_quarantined = arrive(
        'b', 30, trial=True, urgency=Urgency.ALLOW_QUARANTINED
    )
    assert isinstance(gate.admit(30, allows_quarantined), Refuse)


def test_the_gate_reports_its_capacity(gate):
    first = gate.report(0)
    assert (first.free, first.waiting) == (2, 0)
    hold_slots(gate, 0)
    gate.admit(0, arrive('c'))
    second = gate.report(0)
    assert (second.free, second.waiting) == (0, 1)
    assert second.number > first.number
    gate.serve(None)
    assert gate.report(0) is None


def list_served(gate, *arrivals):
    """Return the order in which waiting requests get the freed slots."""
    run(gate, 'usual', Answered(200))
    sent = gate.admit(0, arrive('x'))
    gate.finish(0.4, sent.attempt, Answered(200))
    held = hold_slots(gate, 1)
    assert all(isinstance(gate.admit(1, one), Wait) for one in arrivals)
    served: list[str] = []
    for slot in held:
        gate.finish(1.2, slot.attempt, Answered(200))
        served.extend(decision.request for decision in gate.poll(1.2))
    return served


def test_requests_in_time_go_before_late_ones(gate):
    late = arrive('late', 1, aim=1, spent=2)
    in_time = arrive('timely', 1, aim=2)
    assert list_served(gate, late, in_time) == ['timely', 'late']


def test_of_equal_requests_the_one_that_expires_first_goes_first(gate):
    patient = arrive('patient', 1, left=4, aim=2)
    hurried = arrive('pressed', 1, left=2, aim=2)
    assert list_served(gate, patient, hurried) == ['pressed', 'patient']


def test_a_wait_at_the_gate_ends_at_its_limit(gate):
    run(gate, 'usual', Answered(200))
    hold_slots(gate, 1)
    assert isinstance(gate.admit(1, arrive('a', 1)), Wait)
    decisions = gate.poll(1 + 2 * MAXIMUM_WAIT)
    assert [decision.request for decision in decisions] == ['a']
    assert decisions[0].failure.outcome is Outcome.NOT_RUN


def test_the_most_urgent_request_is_refused_where_trials_fail(gate):
    """Three in four such requests were lost at a target that hangs."""
    run(gate, 'a', Broken('reset'))
    run(gate, 'b', Broken('reset'), 0.3, trial=True)
    allows_any = arrive('c', 0.4, urgency=Urgency.ALLOW_ANY)
    decision = gate.admit(0.4, allows_any)
    assert isinstance(decision, Refuse)
    assert decision.failure.outcome is Outcome.NOT_RUN


def test_a_repeat_that_reaches_the_target_is_told_and_counted(gate):
    told = []
    gate.count_repeats(lambda service, kind: told.append((service, kind)))
    plan = resolve(gate, repeat=RepeatKind.HEDGE).ok
    gate.admit(0, Arrival('h', plan, 5, True))
    gate.admit(0, Arrival('f', resolve(gate).ok, 5, True))
    assert told == [('refunds', 'hedge')]


def test_a_decline_of_a_repeat_is_told_from_others():
    headers = HTTPHeaders(
        {
            'Hillfield-Outcome': 'not-run',
            'Hillfield-Step': 'admit',
            'Hillfield-Event': str(int(EventCode.REPEAT_DECLINED)),
        },
    )
    declined = HopDialect().read_failure(503, headers)
    assert declined == Declined('at step admit', only_repeats=True)
