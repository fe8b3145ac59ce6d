"""Links between failure domains, and the updates sent over them."""

from hillfield.fleet.core import Core
from hillfield.fleet.messages import StateUpdate
from hillfield.fleet.peering.link_table import Link


def is_cross_domain(core: Core, link: Link) -> bool:
    """Return whether a link crosses failure domains and its bytes cost much."""
    if not core.settings.sparse or link.locality is None:
        return False
    return link.locality.failure_domain != _home(core)


def is_update_sent(core: Core, link: Link, update: StateUpdate) -> bool:
    """Return whether an update is forwarded over a link.

    Over a cross-domain link a node sends only updates of its own failure
    domain, and only if it holds a relay slot: each domain publishes its own
    changes to the others. Updates that they miss are found by the hashes in
    heartbeats.
    """
    if not is_cross_domain(core, link):
        return True
    if not core.own.record.relay_slot:
        return False
    record = core.state_table.records.get(update.name)
    return record is None or record.locality.failure_domain == _home(core)


def _home(core: Core) -> str:
    return core.settings.locality.failure_domain
