from hillfield.fleet.measurement import measure_costs
from hillfield.fleet.outages import (
    measure_domain_loss,
    measure_drain,
    measure_merge,
)
from hillfield.fleet.synthetic_fleet import load_state
from hillfield.fleet.traffic import measure_traffic


def test_loaded_state_knows_the_whole_fleet():
    state = load_state(40, 3)
    assert len(state.core.state_table.alive) == 40
    assert len(state.core.view.targets()) == 39 * 3


def test_costs_that_must_not_grow_with_the_fleet_do_not():
    small, large = measure_costs(20, 2), measure_costs(60, 2)
    assert small.heartbeat.sealed_bytes == large.heartbeat.sealed_bytes
    assert small.hashes.sealed_bytes == large.hashes.sealed_bytes
    assert small.memory < large.memory


def test_quiet_traffic_does_not_grow_with_the_fleet():
    small, large = measure_traffic(8), measure_traffic(16)
    assert large.quiet < 1.5 * small.quiet
    assert 0 < large.entry < 8192


def test_drained_target_is_known_within_two_seconds_by_hops():
    assert 0 < measure_drain(24) < 2


def test_lost_domain_is_taken_out_within_its_bound():
    loss = measure_domain_loss(24)
    assert loss.lost == 3
    assert 3 <= loss.settled < 5
    assert not loss.targets_kept
    assert loss.quiet_in_window < loss.bytes_in_window < 65536


def test_parted_regions_merge_within_two_minutes():
    merge = measure_merge(16, apart=90)
    assert 0 < merge.members <= merge.entries
    assert merge.entries < 120
