"""Decide when a started node knows the departures of its targets; pure.

The node that ran on this host before may have acknowledged that a target
leaves. Until that is known, a heartbeat may be an old one of a target that has
left. The store has all departures, but it may not answer this node. Then the
other nodes are asked: they were told before the acknowledgement, and can read
the store if it answers them. That nobody answers is no knowledge.
"""

from typing import Final

from msgspec import Struct

from hillfield.departures.messages import DepartureAnswer

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
