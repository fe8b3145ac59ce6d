"""Find open relay slots of a failure domain, and which node claims them."""

from typing import Final

from msgspec import Struct

from hillfield.fleet.core import Core
from hillfield.fleet.replication.summary import hash_text

SLOTS_PER_DOMAIN: Final = 2
# Seconds between the claims of two nodes that are next to each other in rank.
CLAIM_STAGGER: Final = 1.0
MAX_STAGGER_STEPS: Final = 8


class OpenSlot(Struct, frozen=True):
    """Name an open slot and how many seconds to wait before claiming it."""

    slot: str
    wait: float


def make_relay_prefix(cluster: str) -> str:
    """Return the key prefix of relay entries.

    >>> make_relay_prefix('north')
    '/hillfield/north/relays/'
    """
    return f'/hillfield/{cluster}/relays/'


def make_configuration_prefixes(cluster: str) -> tuple[str, str]:
    """Return the key prefixes of the configuration.

    >>> make_configuration_prefixes('north')[0]
    '/hillfield/north/templates/'
    """
    base = f'/hillfield/{cluster}'
    return f'{base}/templates/', f'{base}/accounts/'


def find_open_slot(core: Core) -> OpenSlot | None:
    """Return a slot of this failure domain that no live node holds.

    Nodes publish the slot that they hold in their records, so a fleet without
    changes makes no store calls. The domain's nodes wait for different times,
    by their rank for the slot, so that one claims it and the others receive
    its record before they would.
    """
    domain = core.settings.locality.failure_domain
    peers = [
        record
        for name, record in core.state_table.records.items()
        if name in core.state_table.alive
        and record.locality.failure_domain == domain
    ]
    held = {record.relay_slot for record in peers}
    slots = (f'{domain}/{number}' for number in range(SLOTS_PER_DOMAIN))
    opened = next((slot for slot in slots if slot not in held), None)
    if opened is None or core.own.record.relay_slot:
        return None
    rivals = [record.name for record in peers if not record.relay_slot]
    return OpenSlot(opened, _compute_wait(core.settings.name, opened, rivals))


def compute_rank(slot: str, name: str) -> int:
    """Return a node's rank for a slot, the same at all nodes; lowest first."""
    return hash_text(f'{slot}>{name}')


def _compute_wait(own_name: str, slot: str, rivals: list[str]) -> float:
    mine = compute_rank(slot, own_name)
    before = sum(compute_rank(slot, rival) < mine for rival in rivals)
    return min(before, MAX_STAGGER_STEPS) * CLAIM_STAGGER
