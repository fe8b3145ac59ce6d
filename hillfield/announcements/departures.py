"""Departures of targets, as other nodes remember and tell them; pure.

The node that ran on a host before may have acknowledged that a target leaves.
Until that is known, a heartbeat may be an old one of a target that has left.
The store has all departures, but it may not answer the node that starts. Then
the other nodes are asked: they were told before the acknowledgement, and can
read the store if it answers them. That nobody answers is no knowledge.
"""

from collections import OrderedDict
from collections.abc import Iterable
from typing import Final

from msgspec import Struct

from hillfield.loadreports.sealing import SealedCodec

# Seconds for which a departure is remembered, here and in the store: longer
# than a target goes on serving after it, or than a heartbeat of it takes to
# arrive.
DEPARTURE_SECONDS: Final = 600.0
# Departures remembered, the latest ones.
MAXIMUM_DEPARTURES: Final = 4096
# Seconds that the store has to answer before other nodes are asked.
FIRST_QUESTION_AFTER: Final = 0.3
# Seconds between the first questions, and at most between later ones.
QUESTION_INTERVAL: Final = 0.4
LONGEST_INTERVAL: Final = 3.2
# Questions after which others are asked to read the store, and after which
# one node that vouches suffices: the others may have started lately as well.
MEMORY_QUESTIONS: Final = 3
# Nodes that must vouch, since a notice to one of them may have been lost.
VOUCHERS_NEEDED: Final = 3
# Failure domains that they must be of: the nodes of one may have started
# together, with what others had sent them of the node's earlier process.
DOMAINS_NEEDED: Final = 2


class Departure(Struct, frozen=True, array_like=True):
    """Hold that a target leaves; `born` is its start in milliseconds."""

    name: str
    born: int


class DepartureNotice(Struct, frozen=True, array_like=True, tag='n'):
    """Tell of departures that the node of a host acknowledges."""

    host: str
    departures: tuple[Departure, ...]


class DepartureQuestion(Struct, frozen=True, array_like=True, tag='q'):
    """Ask what earlier processes of the sender's node have acknowledged.

    `incarnation` is that of the sender; `read`: the receiver is to read it
    from the store, which does not answer the sender.
    """

    host: str
    incarnation: int
    read: bool = False


class DepartureAnswer(Struct, frozen=True, array_like=True, tag='a'):
    """Answer a question with all departures that the sender knows.

    `vouches`: the sender was there when the node's earlier process ran, which
    would have told it of any other departure. `was_read`: the departures are
    what the store holds. `others` is how many nodes the sender knows besides
    the one that asks.
    """

    departures: tuple[Departure, ...]
    vouches: bool = False
    was_read: bool = False
    others: int = 0


DepartureMessage = DepartureNotice | DepartureQuestion | DepartureAnswer


class DepartureCodec(SealedCodec[DepartureMessage]):
    """Seal messages with the cluster's key, and open them.

    >>> codec = DepartureCodec(b'key')
    >>> notice = DepartureNotice('n1', (Departure('i-1', 50),))
    >>> codec.open(codec.seal(notice)) == notice
    True
    >>> codec.open(b'noise') is None
    True
    """

    def __init__(self, key: bytes) -> None:
        """Seal with this key."""
        super().__init__(key, DepartureMessage)


class RememberedDeparture(Struct, frozen=True):
    """Hold a departure and when it was told, in monotonic seconds."""

    departure: Departure
    told_at: float


class DepartureMemory:
    """Remember departures by host and name of the target.

    >>> memory = DepartureMemory()
    >>> memory.add(1.0, 'host-1', [Departure('i-1', 50)])
    >>> memory.recall(2.0, 'host-1')
    (Departure(name='i-1', born=50),)
    >>> memory.recall(2.0, 'host-2'), memory.recall(700.0, 'host-1')
    ((), ())
    """

    def __init__(self) -> None:
        """Start without any."""
        self._rows: OrderedDict[tuple[str, str], RememberedDeparture] = (
            OrderedDict()
        )

    def add(
        self,
        now: float,
        host: str,
        departures: Iterable[Departure],
    ) -> None:
        """Remember departures; of two with one name the later start counts."""
        for departure in departures:
            key = (host, departure.name)
            known = self._rows.get(key)
            if known is None or known.departure.born <= departure.born:
                self._rows[key] = RememberedDeparture(departure, now)
                self._rows.move_to_end(key)
        while len(self._rows) > MAXIMUM_DEPARTURES:
            self._rows.popitem(last=False)

    def recall(self, now: float, host: str) -> tuple[Departure, ...]:
        """Return the departures at a host; forget all that are old."""
        self._forget(now - DEPARTURE_SECONDS)
        return tuple(
            row.departure
            for (named, _), row in self._rows.items()
            if named == host
        )

    def _forget(self, oldest: float) -> None:
        while self._rows:
            key, row = next(iter(self._rows.items()))
            if row.told_at >= oldest:
                return
            self._rows.pop(key)


class Voucher(Struct, frozen=True):
    """Name a node that answered, and its failure domain."""

    node: str
    domain: str


class DepartureInquiry:
    """Track the questions and answers of a started node.

    >>> inquiry = DepartureInquiry(10.0)
    >>> inquiry.is_due(10.1), inquiry.is_due(10.3)
    (False, True)
    >>> inquiry.add_answer(Voucher('n2', 'b'), DepartureAnswer(()))
    False
    >>> read = DepartureAnswer((), was_read=True)
    >>> inquiry.add_answer(Voucher('n2', 'b'), read)
    True
    """

    def __init__(self, started: float) -> None:
        """Start the process at this moment, in monotonic seconds."""
        self._next = started + FIRST_QUESTION_AFTER
        self._asked = 0
        self._vouchers: set[Voucher] = set()

    def is_due(self, now: float) -> bool:
        """Return whether to ask again."""
        return now >= self._next

    def wants_reading(self) -> bool:
        """Return whether the memory of others has not sufficed."""
        return self._asked >= MEMORY_QUESTIONS

    def record_asked(self, now: float) -> None:
        """Record that other nodes were asked."""
        self._asked += 1
        doublings = max(0, self._asked - MEMORY_QUESTIONS)
        interval = QUESTION_INTERVAL * 2**doublings
        self._next = now + min(LONGEST_INTERVAL, interval)

    def add_answer(
        self,
        sender: Voucher,
        answer: DepartureAnswer,
    ) -> bool:
        """Return whether the departures are known with this answer."""
        if answer.was_read:
            return True
        if not answer.vouches:
            return False
        self._vouchers.add(sender)
        if self.wants_reading():
            return True
        if len(self._vouchers) >= answer.others:
            return True
        domains = {voucher.domain for voucher in self._vouchers}
        enough = len(self._vouchers) >= VOUCHERS_NEEDED
        return enough and len(domains) >= DOMAINS_NEEDED

    def list_vouchers(self) -> str:
        """Return the names of the nodes that vouch."""
        return ', '.join(sorted(voucher.node for voucher in self._vouchers))
