"""What nodes asked of the store, summed up."""

from hillfield.emulator.store_calls import CallTotal
from hillfield.emulator.store_control import Measurement
from hillfield.experiments.sizing.occasions import sum_up
from hillfield.store.counters import CallKind


def test_only_new_calls_of_nodes_count_by_second():
    before = (CallTotal(3, CallKind.GET, 'node-1', 5),)
    totals = (
        CallTotal(3, CallKind.GET, 'node-1', 7),
        CallTotal(4, CallKind.RENEW, 'node-1', 1),
        CallTotal(4, CallKind.SWAP, 'node-2', 2),
        CallTotal(4, CallKind.SWAP, 'operator', 9),
    )
    after = Measurement(1, {'node-1': 2, 'node-2': 1}, 3, 9, totals)
    occasion = sum_up('quiet', before, after)
    assert (occasion.reads, occasion.writes) == (1, 1.5)
    assert (occasion.most_reads, occasion.most_writes) == (2, 3)
    assert occasion.watches == 3


def test_silence_is_no_calls():
    occasion = sum_up('quiet', (), Measurement(1, {}, 0, 0, ()))
    assert occasion.most_reads == occasion.most_writes == 0
