"""Where a local fleet listens."""

from hillfield.demo import layout

PORTS = frozenset(range(1, 99))


class LowestFree:
    """Give out the lowest port that nobody holds, as some machines do."""

    held: set[int] = set()

    def __enter__(self):
        return self

    def __exit__(self, *problem):
        self.held.discard(self.port)

    def bind(self, address):
        self.port = min(PORTS - self.held)
        self.held.add(self.port)

    def getsockname(self):
        return '127.0.0.1', self.port


def test_a_host_never_gets_one_port_twice(monkeypatch):
    """A node could not listen: callers and control had the same port."""
    monkeypatch.setattr(layout, 'socket', LowestFree)
    host = layout.make_layout(1, ()).hosts[0]
    addresses = {host.callers, host.control, host.links}
    assert len(addresses) == 3


def test_ports_are_given_back(monkeypatch):
    monkeypatch.setattr(layout, 'socket', LowestFree)
    layout.find_several_free('127.0.0.1', 4)
    assert not LowestFree.held
