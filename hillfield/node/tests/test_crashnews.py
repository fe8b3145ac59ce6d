"""When a node asks others which requests end targets."""

from random import Random

from hillfield.crashes import Inquiry
from hillfield.events import ListJournal
from hillfield.fleet.records import NodeRecord
from hillfield.model import Address, Locality
from hillfield.node.crashes import CrashBook
from hillfield.node.crashnews import CrashExchange

KEY = b'key'
OTHER = NodeRecord(
    name='other',
    link=Address('10.0.0.2', 1),
    locality=Locality('north', 'a', 'h2'),
    control=Address('10.0.0.2', 2),
    caller=Address('10.0.0.2', 3),
)


class Book(CrashBook):
    def __init__(self):
        super().__init__(KEY, ListJournal())
        self.others = []

    def list_others(self):
        return self.others


class Exchange(CrashExchange):
    """Keep what would be sent."""

    def __init__(self, book):
        super().__init__(Address('127.0.0.1', 0), KEY, Random(1), book)
        self.sent = []

    def look(self):
        self._tick()

    def _send(self, message, hosts):
        self.sent.extend((message, ip) for ip in hosts)


def test_a_node_that_found_nobody_to_ask_asks_at_its_next_look():
    # A question that went to nobody counted as asked, for 0.9 s.
    book = Book()
    exchange = Exchange(book)
    exchange.look()
    assert not exchange.sent
    book.others.append(OTHER)
    exchange.look()
    assert exchange.sent == [(Inquiry(0), '10.0.0.2')]


def test_a_node_that_knows_nothing_asks_again_until_it_is_told():
    # A question, or its answer, may be lost on the way.
    book = Book()
    book.others.append(OTHER)
    exchange = Exchange(book)
    exchange.look()
    exchange.look()
    assert len(exchange.sent) == 2
