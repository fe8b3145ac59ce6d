"""All decisions together, against simulated targets and callers."""

from msgspec.structs import replace
from pytest import mark

from hillfield.routing.measurement import measure_overload, measure_setting
from hillfield.routing.simulation import Burst, Setting, make_targets

SHARED = Setting(nodes=4, targets=4, seconds=1, deadline=0.25)


@mark.parametrize('sheds', [True, False])
@mark.parametrize('idempotent', [True, False])
def test_goodput_holds_at_three_times_capacity(sheds, idempotent):
    setting = replace(SHARED, sheds=sheds, idempotent=idempotent)
    below, peak, over = measure_overload(setting, baseline=False)
    assert over >= 0.9 * max(below, peak)


def test_no_collapse_when_many_nodes_fill_the_queues_of_targets():
    # Four nodes that use all slots make queues of four service times, which is
    # near the deadline: without a window, every answer was late.
    setting = replace(SHARED, sheds=False, deadline=0.1, seconds=2)
    below, peak, over = measure_overload(setting, baseline=False)
    assert over >= 0.9 * max(below, peak)
    assert over >= 4 * measure_overload(setting, baseline=True)[-1]


def test_unknown_stays_rare_under_overload():
    # Requests sent too late to be answered in time end as unknown.
    setting = replace(SHARED, rate=3 * SHARED.capacity(), deadline=0.1)
    tally = measure_setting(setting, baseline=False)
    assert tally.unknown <= 0.01 * tally.arrived


@mark.parametrize('seed', range(2, 9))
def test_requests_sent_too_late_are_rare_with_any_seed(seed):
    # When requests were sent with half of the usual duration left, half of them
    # ended as unknown.
    rate = 3 * SHARED.capacity()
    setting = replace(SHARED, rate=rate, deadline=0.1, seed=seed)
    tally = measure_setting(setting, baseline=False)
    assert tally.unknown <= 0.01 * tally.arrived


def test_greedy_account_does_not_take_the_slots_of_others():
    rate = 3 * SHARED.capacity()
    setting = replace(SHARED, rate=rate, greedy=0.8, deadline=1)
    tally = measure_setting(setting, baseline=False)
    greedy = tally.greedy_answered / tally.greedy_arrived
    others = tally.arrived - tally.greedy_arrived
    answered = tally.answered - tally.greedy_answered
    assert answered / others >= 2 * greedy


def test_slow_target_gets_few_requests():
    setting = Setting(rate=500, seconds=2, slow=5, targets=8)
    tally = measure_setting(setting, baseline=False)
    first = make_targets(1, setting.slots)[0].id
    assert tally.by_target.get(first, 0) < tally.sent / 24


@mark.parametrize('seed', range(1, 9))
@mark.parametrize('idempotent', [True, False])
def test_a_burst_while_a_target_is_slow_is_answered(idempotent, seed):
    # The other five targets have capacity for twice as much. Time is simulated,
    # since real processes that share a processor are all slow at once.
    setting = Setting(
        nodes=2,
        targets=6,
        rate=60,
        seconds=1.5,
        slow=20,
        slow_since=0.5,
        burst=Burst(rate=400, since=0.5, seconds=0.5),
        idempotent=idempotent,
        seed=seed,
    )
    tally = measure_setting(setting, baseline=False)
    assert tally.arrived > 200
    assert tally.answered >= 0.9 * tally.arrived


@mark.parametrize('idempotent', [True, False])
def test_total_failure_is_not_amplified(idempotent):
    setting = Setting(seconds=1, broken=True, idempotent=idempotent)
    tally = measure_setting(setting, baseline=False)
    assert tally.sent <= 1.1 * tally.arrived


@mark.parametrize('slots', [0, 4])
def test_each_request_ends_once(slots):
    tally = measure_setting(replace(SHARED, slots=slots), baseline=False)
    assert tally.answered + tally.refused == tally.arrived


@mark.parametrize(('slots', 'burst'), [(4, 5), (0, 10)])
def test_bursts_bound_what_few_requests_send_in_a_total_failure(slots, burst):
    # The burst is that of a full bucket: for broken attempts, or for sheds if
    # the targets have no slots.
    setting = Setting(rate=100, seconds=0.3, slots=slots, broken=True)
    tally = measure_setting(setting, baseline=False)
    assert 10 < tally.arrived < 50
    assert not tally.answered
    assert tally.arrived < tally.sent <= tally.arrived + burst
