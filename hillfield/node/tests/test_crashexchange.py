"""When a node sends inquiries about crashing requests."""

from random import Random

from hillfield.crashes import Inquiry
from hillfield.events import ListJournal
from hillfield.fleet.records import NodeRecord
from hillfield.model import Address, Locality
from hillfield.node.crashes import CrashTracker
from hillfield.node.crashexchange import CrashExchange

KEY = b'key'
OTHER = NodeRecord(
    name='other',
    link=Address('10.0.0.2', 1),
    locality=Locality('north', 'a', 'h2'),
    control=Address('10.0.0.2', 2),
    caller=Address('10.0.0.2', 3),
)


class Tracker(CrashTracker):
    def __init__(self):
        super().__init__(KEY, ListJournal())
        self.others = []

    def list_others(self):
        return self.others


class Exchange(CrashExchange):
    """Record messages instead of sending them."""

    def __init__(self, tracker):
        super().__init__(Address('127.0.0.1', 0), KEY, Random(1), tracker)
        self.sent = []

    def run_check(self):
        self._tick()

    def _send(self, message, hosts):
        self.sent.extend((message, ip) for ip in hosts)


def test_an_inquiry_without_a_recipient_is_sent_at_the_next_check():
    # An inquiry without a recipient counted as sent and delayed the next one by
    # 0.9 s.
    tracker = Tracker()
    exchange = Exchange(tracker)
    exchange.run_check()
    assert not exchange.sent
    tracker.others.append(OTHER)
    exchange.run_check()
    assert exchange.sent == [(Inquiry(0), '10.0.0.2')]


def test_a_node_without_cases_repeats_its_inquiry_until_answered():
    # The datagram of an inquiry or of its answer may be lost.
    tracker = Tracker()
    tracker.others.append(OTHER)
    exchange = Exchange(tracker)
    exchange.run_check()
    exchange.run_check()
    assert len(exchange.sent) == 2
