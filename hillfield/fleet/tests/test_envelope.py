from random import Random

import pytest
from msgspec.structs import replace

from hillfield.configuration.entries import Entry
from hillfield.events import HybridClock
from hillfield.fleet.envelope import Codec, Received, Refusal
from hillfield.fleet.messages import Entries, Heartbeat
from hillfield.fleet.settings import FleetSettings
from hillfield.model import Address, Locality

HERE = Address('127.0.0.1', 9000)
SETTINGS = FleetSettings(
    cluster='north',
    key=b'secret',
    name='node-1',
    incarnation=7,
    locality=Locality('r', 'd', 'h'),
    link=HERE,
    control=HERE,
    caller=HERE,
)
BEAT = Heartbeat(1 << 63, 1 << 62, ready=True)


class SteppedClock:
    """Stamp messages by a wall clock that does not advance."""

    def __init__(self, wall):
        """Set the wall clock to `wall` milliseconds."""
        self.wall = wall
        self.clock = HybridClock()

    def stamp(self):
        """Return the stamp of a message to be sent."""
        return self.clock.tick(self.wall)

    def merge(self, remote):
        """Advance the clock beyond the stamp of a message."""
        return self.clock.merge(self.wall, remote)


SEALED = Codec(SETTINGS).seal(BEAT, 7)


def test_opens_what_it_sealed():
    opened = Codec(SETTINGS).open(SEALED)
    assert opened.ok == Received('node-1', 7, BEAT)


def test_heartbeat_is_small():
    assert len(SEALED) < 60


@pytest.mark.parametrize(
    ('sealed', 'reason'),
    [
        (b'', Refusal.MALFORMED),
        (SEALED.replace(b'\x01', b'\x02', 1), Refusal.OTHER_VERSION),
        (SEALED[:-1], Refusal.WRONG_KEY),
        (SEALED[:9], Refusal.WRONG_KEY),
        (SEALED.replace(b'north', b'south'), Refusal.OTHER_CLUSTER),
        (bytes(SETTINGS.message_limit + 1), Refusal.OVERSIZED),
    ],
)
def test_refuses_what_is_not_of_the_cluster(sealed, reason):
    assert Codec(SETTINGS).open(sealed).error == reason


def test_refuses_another_key():
    other = Codec(replace(SETTINGS, key=b'other'))
    assert other.open(SEALED).error == Refusal.WRONG_KEY


def test_refuses_a_malformed_body_under_the_right_key():
    codec = Codec(SETTINGS)
    sealed = codec.seal('no message', 7)  # type: ignore[arg-type]  # wrong
    assert codec.open(sealed).error == Refusal.MALFORMED


def test_events_after_a_message_are_ordered_after_those_before_it():
    """A receiver whose wall clock lags still orders its events later."""
    ahead, lagging = SteppedClock(5000), SteppedClock(1000)
    before = ahead.stamp()
    sealed = Codec(SETTINGS, ahead).seal(BEAT, 7)
    assert Codec(SETTINGS, lagging).open(sealed).is_ok()
    assert lagging.stamp() > before


def make_routes(count):
    numbers = map(str, range(0, count * 7919, 7919))
    rows = '/","timeout":1.5,"service":"refunds"},{"prefix":"/'.join(numbers)
    return rows.encode()


def test_a_large_configuration_takes_a_fraction_of_its_bytes():
    """1,200 routes with names, 218 kB, are sent as 15 kB."""
    entries = Entries((Entry('routes', 9, make_routes(1200)),))
    sealed = Codec(SETTINGS).seal(entries, 7)
    assert len(sealed) < len(entries.entries[0].payload) / 3
    assert Codec(SETTINGS).open(sealed).ok.message == entries


def test_incompressible_bytes_are_opened_as_well():
    noise = Random(1).randbytes(5000)
    entries = Entries((Entry('routes', 9, noise),))
    sealed = Codec(SETTINGS).seal(entries, 7)
    assert Codec(SETTINGS).open(sealed).ok.message == entries


def test_a_body_too_large_after_decompression_is_refused():
    large = Entry('routes', 9, bytes(SETTINGS.message_limit + 1))
    sealed = Codec(SETTINGS).seal(Entries((large,)), 7)
    assert len(sealed) < 1000
    assert Codec(SETTINGS).open(sealed).error == Refusal.MALFORMED
