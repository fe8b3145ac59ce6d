"""Track which nodes are reachable, and expire those that are not."""

from typing import Final

from hillfield.events import EventCode
from hillfield.fleet.core import Core
from hillfield.fleet.records import UpdateKind
from hillfield.fleet.state_updates import publish

# Seconds between two computations of the reachable nodes.
REFRESH_INTERVAL: Final = 0.1
# Seconds between two publications of a node's record. They double while the
# record keeps changing, up to the limit, and start again from the shortest
# once the record has not changed for the quiet time. A node that starts opens
# its first links within 2 s and would publish its record for each of them;
# since every record goes to every node, the cost of starting a fleet grows
# with the square of its size.
PUBLISH_DELAY: Final = 0.2
PUBLISH_DELAY_LIMIT: Final = 1.6
PUBLISH_QUIET_TIME: Final = 4.0
# Changed nodes up to which each gets an event of its own.
NAMES_PER_EVENT: Final = 8


def refresh_members(core: Core, now: float) -> None:
    """Compute the reachable nodes again if a record changed."""
    if (
        core.state_table.members_stale
        and now - core.times.members_refreshed >= REFRESH_INTERVAL
    ):
        core.times.members_refreshed = now
        changed = core.state_table.refresh_alive(core.own.record.name)
        core.outbox.set_node_count(len(core.state_table.alive))
        others = changed - {core.own.record.name}
        joined = sorted(others & core.state_table.alive)
        lost = sorted(others - core.state_table.alive)
        for name in joined:
            _record_joined(core, name)
        for gone in lost:
            _record_lost(core, now, gone)
        _report(core, EventCode.MEMBER_JOINED, joined)
        _report(core, EventCode.MEMBER_LOST, lost)


def expire_lost(core: Core, now: float) -> None:
    """Drop the targets of lost nodes, and later the nodes themselves.

    A node without a reachable neighbour has lost its own links, which says
    nothing about the other nodes: their timers are then reset.
    """
    if not core.reachable_links():
        core.lost_since = dict.fromkeys(core.lost_since, now)
        return
    orphaned = [
        name
        for name, since in core.lost_since.items()
        if now - since >= core.settings.orphan_hold
        and core.view.lists_node(name)
    ]
    for orphan in orphaned:
        core.view.remove_node(orphan)
    _report(core, EventCode.TARGETS_ORPHANED, orphaned)
    for name, since in tuple(core.lost_since.items()):
        if now - since >= core.settings.forget_after:
            core.lost_since.pop(name)
            core.state_table.forget(name)


def publish_record(core: Core, now: float) -> None:
    """Publish this node's record if it changed and its delay has passed."""
    held = core.state_table.get(UpdateKind.MEMBER, core.own.record.name)
    payload = core.codec.encode_record(core.own.record)
    if held is not None and held.payload == payload:
        return
    since = now - core.own.published
    if since < core.own.publish_delay:
        return
    doubled = min(PUBLISH_DELAY_LIMIT, 2 * core.own.publish_delay)
    quiet = since >= PUBLISH_QUIET_TIME
    core.own.publish_delay = PUBLISH_DELAY if quiet else doubled
    core.own.published = now
    publish(core, now, UpdateKind.MEMBER, payload)


def _record_joined(core: Core, name: str) -> None:
    core.lost_since.pop(name, None)
    record = core.state_table.records[name]
    core.addresses.forget(record.link)
    core.view.update_node(name)


def _record_lost(core: Core, now: float, name: str) -> None:
    core.lost_since[name] = now
    record = core.state_table.records.get(name)
    if record is not None:
        core.addresses.add(now, record.link)


def _report(core: Core, code: EventCode, names: list[str]) -> None:
    """Report one event per node, or a single one if many changed at once."""
    if len(names) <= NAMES_PER_EVENT:
        for name in names:
            core.report(code, peer=name)
        return
    named = ', '.join(names[:NAMES_PER_EVENT])
    core.report(code, detail=f'{len(names)} nodes: {named}, ...')
