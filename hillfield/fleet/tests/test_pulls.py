"""Entries that a peer told of and did not send."""

from hillfield.fleet.mesh import MemoryStore
from hillfield.fleet.messages import Version
from hillfield.fleet.replication.entry_index import EntryIndex
from hillfield.model import Address

KILLED = Address('10.0.0.1', 7380)
ALIVE = Address('10.0.0.2', 7380)
AGAIN = 0.4


def test_another_peer_is_asked_soon():
    """A configuration came 2.05 s after its ack; the bound is 2 s.

    The peer that had told of it was killed, and the next was asked after 2 s.
    """
    ledger = EntryIndex(MemoryStore(), AGAIN)
    ledger.record_offer(KILLED, Version('routes', 0, 62))
    first = ledger.select_pulls(10, (KILLED, ALIVE))
    assert [missing.peer for missing in first] == [KILLED]
    assert not ledger.select_pulls(10.3, (ALIVE,))
    second = ledger.select_pulls(10.5, (ALIVE,))
    assert [missing.peer for missing in second] == [ALIVE]


def ask(ledger, peers, *moments):
    """Return who is asked for one entry at each of the moments."""
    return [ledger.select_pulls(now, peers)[0].peer for now in moments]


def test_who_offered_a_change_is_asked_before_who_may_not_have_it():
    told_nothing = tuple(Address('10.0.1.1', port) for port in range(5))
    peers = (*told_nothing, KILLED, ALIVE)
    ledger = EntryIndex(MemoryStore(), AGAIN)
    for peer in (KILLED, ALIVE):
        ledger.record_offer(peer, Version('routes', 0, 62))
    asked = ask(ledger, peers, 10, 10.5, 11)
    assert asked == [KILLED, ALIVE, told_nothing[0]]


def test_an_offer_that_may_be_taken_up_sooner_goes_first():
    ledger = EntryIndex(MemoryStore(), AGAIN)
    ledger.record_offer(KILLED, Version('routes', 0, 62), earliest=10.2)
    ledger.record_offer(ALIVE, Version('routes', 0, 62))
    asked = ask(ledger, (KILLED, ALIVE), 10, 10.5)
    assert asked == [ALIVE, KILLED]
