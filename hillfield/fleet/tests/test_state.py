from random import Random

import pytest
from msgspec.structs import replace

from hillfield.configuration.entries import Entry
from hillfield.detection.evidence import Evidence, Symptom
from hillfield.events import EventCode
from hillfield.fleet.effects import Dial, SendTo, Ticked
from hillfield.fleet.mesh import Mesh
from hillfield.fleet.messages import StateUpdate, StateUpdates
from hillfield.fleet.outbox import Outbox
from hillfield.fleet.readiness import describe_missing_readiness
from hillfield.fleet.settings import FleetSettings
from hillfield.fleet.state_updates import receive_update
from hillfield.fleet.store_reads import is_cut_off
from hillfield.model import Address, Locality, Target, TargetId, TargetState

NODES = tuple(Address('127.0.0.1', port) for port in range(9000, 9008))
EAST = NODES[::2]
WEST = NODES[1::2]
HALVES = ('d0', 'd1')
PAUSED = (EAST[:2], EAST[::2], WEST)


def settings_of(address):
    number = NODES.index(address)
    region = 'west' if number % 2 else 'east'
    return FleetSettings(
        cluster='north',
        key=b'key',
        name=f'node-{number}',
        incarnation=1,
        locality=Locality(region, HALVES[number > 3], f'h{number}'),
        link=address,
        control=address,
        caller=address,
        seeds=NODES[:2],
    )


def target_of(address, state=TargetState.READY):
    home = settings_of(address).locality
    return Target(TargetId('s', address, 1), home, 2, 8, state=state)


@pytest.fixture
def mesh():
    mesh = Mesh(Random(3))
    for address in NODES:
        state = mesh.add(settings_of(address))
        state.publish_targets(mesh.now, (target_of(address),))
    mesh.states[NODES[0]].submit(Entry('/a', 1, b'a'))
    mesh.states[NODES[0]].mark_loaded()
    mesh.run(10)
    return mesh


def core_of(mesh, address):
    return mesh.states[address].core


def all_alive(mesh):
    return {alive(mesh, address) for address in NODES} == {len(NODES)}


def alive(mesh, address):
    return len(core_of(mesh, address).state_table.alive)


def targets(mesh, address):
    view = core_of(mesh, address).view
    return view.targets_of('s')


def cut_regions(mesh):
    for one in EAST:
        for other in WEST:
            mesh.cut |= {(one, other), (other, one)}


def test_all_nodes_know_all_members_and_targets(mesh):
    assert all_alive(mesh)
    assert {len(targets(mesh, address)) for address in NODES} == {8}
    assert all(state.core.own.ready for state in mesh.states.values())


def test_one_way_path_makes_no_node_lost(mesh):
    mesh.cut |= {(NODES[3], other) for other in NODES[4:]}
    mesh.run(20)
    assert all_alive(mesh)


def test_dead_node_is_lost_in_seconds_and_its_targets_after_the_hold(mesh):
    mesh.remove(NODES[5])
    mesh.run(5)
    assert alive(mesh, NODES[0]) == 7
    assert len(targets(mesh, NODES[0])) == 8
    mesh.run(10)
    assert len(targets(mesh, NODES[0])) == 7


def test_restarted_node_does_not_empty_its_hosts_targets(mesh):
    fresh = mesh.restart(NODES[5])
    for _ in range(60):
        mesh.run(0.1)
        assert len(targets(mesh, NODES[0])) == 8
    fresh.publish_targets(mesh.now, ())
    mesh.run(2)
    assert len(targets(mesh, NODES[0])) == 7


def test_drained_target_does_not_come_back_with_a_restarted_node(mesh):
    drained = target_of(NODES[5], TargetState.DRAINING)
    mesh.states[NODES[5]].publish_targets(mesh.now, (drained,))
    mesh.run(1)
    fresh = mesh.restart(NODES[5])
    for step in range(80):
        mesh.run(0.1)
        assert target_of(NODES[5]) not in targets(mesh, NODES[0])
        if step == 20:
            fresh.publish_targets(mesh.now, (drained,))
    assert drained in targets(mesh, NODES[0])
    assert drained in targets(mesh, NODES[5])


@pytest.mark.parametrize('paused', PAUSED)
def test_change_spreads_while_relays_are_paused(mesh, paused):
    """Any other relay suffices, of the same or of another failure domain."""
    mesh.paused |= set(paused)
    mesh.run(0.1)
    mesh.states[NODES[6]].submit(Entry('/a', 2, b'new'))
    mesh.run(0.5)
    for address in set(NODES) - set(paused):
        assert core_of(mesh, address).entry_index.revision_of('/a') == 2


def test_drained_target_is_known_everywhere_within_two_seconds(mesh):
    drained = target_of(NODES[5], TargetState.DRAINING)
    mesh.states[NODES[5]].publish_targets(mesh.now, (drained,))
    mesh.run(2)
    for address in NODES:
        assert drained in targets(mesh, address)


def test_regions_apart_drop_each_other_and_merge(mesh):
    cut_regions(mesh)
    mesh.run(90)
    assert alive(mesh, NODES[0]) == 4
    assert alive(mesh, NODES[1]) == 4
    mesh.states[NODES[0]].submit(Entry('/a', 2, b'new'))
    mesh.cut.clear()
    mesh.run(75)
    assert all_alive(mesh)
    for address in NODES:
        entry_index = core_of(mesh, address).entry_index
        assert entry_index.revision_of('/a') == 2


def test_isolated_node_keeps_the_targets_of_others(mesh):
    alone = NODES[5]
    for other in NODES:
        mesh.cut |= {(alone, other), (other, alone)}
    mesh.run(40)
    assert alive(mesh, alone) == 1
    assert len(targets(mesh, alone)) == 8


def test_paused_node_returns_without_having_lost_the_others(mesh):
    mesh.paused.add(NODES[5])
    mesh.run(30)
    assert alive(mesh, NODES[0]) == 7
    mesh.paused.clear()
    mesh.run(5)
    assert all_alive(mesh)
    codes = {occurrence.code for occurrence in mesh.occurrences}
    assert EventCode.PAUSE_NOTICED in codes


def test_after_pauses_each_link_has_an_end_that_dialled_it(mesh):
    for paused in NODES:
        mesh.paused.add(paused)
        mesh.run(12)
        mesh.in_flight.clear()
        mesh.paused.clear()
        mesh.run(3)
    mesh.run(45)
    for address in NODES:
        for link in core_of(mesh, address).links:
            back = core_of(mesh, link.address).links.find_by_address(address)
            assert link.dialled or back.dialled


def test_evidence_is_disseminated_and_expires(mesh):
    slow = target_of(NODES[1]).id
    seen = Evidence(slow, Symptom.SLOW, 40, 2, 3.5)
    sender = mesh.states[NODES[5]]
    sender.publish_evidence(mesh.now, (seen,))
    mesh.run(1)
    view = core_of(mesh, NODES[0]).evidence_view
    assert [piece.evidence for piece in view.evidence()] == [(seen,)]
    mesh.remove(NODES[5])
    mesh.run(12)
    assert not view.evidence()


def test_clock_set_back_raises_the_incarnation(mesh):
    late = mesh.states[NODES[5]].core.settings
    mesh.add(replace(late, incarnation=0))
    mesh.run(15)
    own = core_of(mesh, NODES[5]).own
    assert own.incarnation == 2
    assert alive(mesh, NODES[0]) == 8
    state_table = core_of(mesh, NODES[0]).state_table
    assert not state_table.is_newer('mnode-5', 2, 1)


def test_second_process_of_a_name_is_reported_without_endless_updates(mesh):
    elsewhere = Address('127.0.0.1', 9100)
    namesake = replace(settings_of(NODES[5]), link=elsewhere, incarnation=9)
    mesh.add(namesake)
    before = mesh.delivered
    mesh.run(60)
    codes = [occurrence.code for occurrence in mesh.occurrences]
    assert EventCode.NAME_TAKEN in codes
    assert codes.count(EventCode.INCARNATION_RAISED) <= 8
    assert mesh.delivered - before < 9 * 60 * 20


def test_peer_is_not_sent_what_it_has_just_sent():
    outbox = Outbox(settings_of(NODES[0]))
    older = StateUpdate('m', 'n', 1, 1, b'')
    newer = StateUpdate('m', 'n', 1, 2, b'')
    outbox.queue_update(NODES[1], older)
    outbox.queue_update(NODES[2], newer)
    outbox.drop_known(NODES[1], newer)
    outbox.drop_known(NODES[2], older)
    sent = outbox.pop_effects(9)
    assert sent == (SendTo(NODES[2], StateUpdates((newer,))),)


def test_other_clusters_messages_are_counted_and_reported_once(mesh):
    stranger = replace(settings_of(NODES[7]), cluster='south')
    mesh.add(stranger)
    mesh.run(8)
    refused = [
        occurrence.detail
        for occurrence in mesh.occurrences
        if occurrence.code == EventCode.MESSAGE_REFUSED
    ]
    counts = core_of(mesh, NODES[0]).counts
    assert counts['other-cluster'] > 1
    assert 0 < len(refused) <= 8
    assert alive(mesh, NODES[0]) == 7


def test_fresh_node_fetches_each_entry_about_once(mesh):
    size = 50 * 3000
    for number in range(50):
        entry = Entry(f'/{number}', 10 + number, bytes(3000))
        mesh.states[NODES[0]].submit(entry)
    mesh.run(5)
    before = mesh.delivered_bytes
    fresh = mesh.restart(NODES[5])
    mesh.run(5)
    assert len(fresh.core.entry_index.summary) == 51
    assert mesh.delivered_bytes - before < 1.5 * size


def test_unknown_kind_is_counted_and_not_kept(mesh):
    core = core_of(mesh, NODES[0])
    held = len(core.state_table)
    receive_update(core, mesh.now, StateUpdate('x', 'node-1', 9, 1, b''), None)
    assert core.counts['unknown-kind'] == 1
    assert len(core.state_table) == held


def test_node_without_peers_says_what_it_waits_for():
    mesh = Mesh(Random(3))
    state = mesh.add(settings_of(NODES[3]))
    mesh.run(15)
    assert not state.core.own.ready
    assert 'none of 2 known addresses answers' in describe_missing_readiness(
        state.core
    )
    codes = {occurrence.code for occurrence in mesh.occurrences}
    assert codes == {EventCode.WAITING_FOR_PEER}


def test_an_address_is_dialled_at_the_next_tick(mesh):
    """Addresses read from the store do not wait for the discovery interval.

    After a power loss, nodes dialled those of other domains one by one, the
    first after a second and each further one 5 s later.
    """
    state = mesh.states[NODES[0]]
    peers = (Address('127.0.0.9', 9000), Address('127.0.0.9', 9001))
    for peer in peers:
        state.dial(mesh.now, peer)
    effects = state.handle_event(mesh.now + 0.1, Ticked())
    dialled = [effect.peer for effect in effects if isinstance(effect, Dial)]
    assert set(peers) <= set(dialled)


def test_a_node_without_messages_of_neighbours_is_cut_off_soon(mesh):
    """Guards against a late change when neighbours are killed with it.

    A node took its killed neighbours for alive for 3 s, did not read the
    store, and used an old configuration for 2.05 s after the acknowledgement
    of a new one.
    """
    core = mesh.states[NODES[0]].core
    last = max(link.last_activity for link in core.reachable_links())
    assert not is_cut_off(core, last + 0.7)
    assert is_cut_off(core, last + 0.9)


def test_a_short_pause_of_its_own_costs_a_node_no_neighbour(mesh):
    # Messages that came during the pause are unread: without the discount,
    # the neighbours would count as silent.
    paused = NODES[5]
    links = core_of(mesh, paused).links
    for link in links:
        link.last_received -= 1.9
    mesh.states[paused].handle_event(mesh.now + 1.4, Ticked())
    assert all(link.up for link in links)
