"""Entries that a peer told of and did not send."""

from hillfield.fleet.mesh import MemoryStore
from hillfield.fleet.messages import Version
from hillfield.fleet.replication.ledger import EntryLedger
from hillfield.model import Address

KILLED = Address('10.0.0.1', 7380)
ALIVE = Address('10.0.0.2', 7380)
AGAIN = 0.4


def test_another_peer_is_asked_soon():
    """A configuration came 2.05 s after its ack; the bound is 2 s.

    The peer that had told of it was killed, and the next was asked after 2 s.
    """
    ledger = EntryLedger(MemoryStore(), AGAIN)
    ledger.note_offer(KILLED, Version('routes', 0, 62))
    first = ledger.due(10, (KILLED, ALIVE))
    assert [missing.peer for missing in first] == [KILLED]
    assert not ledger.due(10.3, (ALIVE,))
    second = ledger.due(10.5, (ALIVE,))
    assert [missing.peer for missing in second] == [ALIVE]
