"""Entries that a peer announced and did not send."""

from hillfield.fleet.mesh import MemoryStore
from hillfield.fleet.messages import Version
from hillfield.fleet.replication.entry_index import EntryIndex
from hillfield.model import Address

KILLED = Address('10.0.0.1', 7380)
ALIVE = Address('10.0.0.2', 7380)
AGAIN = 0.4


def test_another_peer_is_asked_soon():
    """A peer that is killed after an announcement delays the entry little.

    When the next peer was asked only after 2 s, a configuration arrived 2.05 s
    after its acknowledgement; the bound is 2 s.
    """
    entry_index = EntryIndex(MemoryStore(), AGAIN)
    entry_index.record_offer(KILLED, Version('routes', 0, 62))
    first = entry_index.select_pulls(10, (KILLED, ALIVE))
    assert [missing.peer for missing in first] == [KILLED]
    assert not entry_index.select_pulls(10.3, (ALIVE,))
    second = entry_index.select_pulls(10.5, (ALIVE,))
    assert [missing.peer for missing in second] == [ALIVE]


def ask(entry_index, peers, *moments):
    """Return the peer that is asked for one entry at each of the moments."""
    return [entry_index.select_pulls(now, peers)[0].peer for now in moments]


def test_peers_that_offered_a_change_are_asked_before_others():
    without_offer = tuple(Address('10.0.1.1', port) for port in range(5))
    peers = (*without_offer, KILLED, ALIVE)
    entry_index = EntryIndex(MemoryStore(), AGAIN)
    for peer in (KILLED, ALIVE):
        entry_index.record_offer(peer, Version('routes', 0, 62))
    asked = ask(entry_index, peers, 10, 10.5, 11)
    assert asked == [KILLED, ALIVE, without_offer[0]]


def test_an_offer_that_may_be_pulled_sooner_goes_first():
    entry_index = EntryIndex(MemoryStore(), AGAIN)
    entry_index.record_offer(KILLED, Version('routes', 0, 62), earliest=10.2)
    entry_index.record_offer(ALIVE, Version('routes', 0, 62))
    asked = ask(entry_index, (KILLED, ALIVE), 10, 10.5)
    assert asked == [ALIVE, KILLED]
