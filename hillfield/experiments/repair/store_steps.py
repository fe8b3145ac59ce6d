"""Faults of the store, and what it tells of the relays."""

from typing import Final

from hillfield.demo.layout import CLUSTER, HostPlan
from hillfield.emulator.store_core import KeyValueCore
from hillfield.emulator.store_faults import Outage, StoreFaults
from hillfield.emulator.store_values import Lookup, Span
from hillfield.experiments.repair.ground import Ground
from hillfield.fleet.slots import make_relay_prefix
from hillfield.store.keys import find_prefix_end

DOWN: Final = StoreFaults(outage=Outage.REFUSE)
STALE_READS: Final = 20
# Far enough to lie before the newest change of a scene.
STALE_BY: Final = 8


async def kill_store(ground: Ground) -> None:
    """Let the store refuse all connections."""
    await ground.fleet.store.set_faults(DOWN)


async def mend_store(ground: Ground) -> None:
    """Let the store work again, with all that it held."""
    await ground.fleet.store.set_faults(StoreFaults())


async def lose_answers(ground: Ground, number: int) -> None:
    """Lose the answers of so many of the next writes."""
    await ground.fleet.store.set_faults(StoreFaults(lost_answers=number))


async def answer_from_the_past(ground: Ground) -> None:
    """Answer the next reads as of some revisions ago, as a bad replica does."""
    past = StoreFaults(stale_reads=STALE_READS, stale_by=STALE_BY)
    await ground.fleet.store.set_faults(past)


def find_relays(ground: Ground) -> tuple[HostPlan, ...]:
    """Return the hosts whose nodes hold a relay slot in the store."""
    prefix = make_relay_prefix(CLUSTER).encode()
    span = Span(prefix, find_prefix_end(prefix))
    reading = _read_core(ground).read(Lookup(span)).ok
    held = {record.payload.decode() for record in reading.records}
    return tuple(host for host in ground.hosts if str(host.links) in held)


def read_revision(ground: Ground) -> int:
    """Return the store's newest revision."""
    return _read_core(ground).revision


def _read_core(ground: Ground) -> KeyValueCore:
    return ground.fleet.store.state.core
