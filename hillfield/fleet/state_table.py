"""The newest state updates of each node, and which nodes are reachable."""

from collections import deque
from collections.abc import Iterator, Mapping
from typing import Final

from hillfield.fleet.messages import StateUpdate, Version
from hillfield.fleet.records import NodeRecord, RecordCodec, UpdateKind
from hillfield.fleet.replication.summary import Summary

# Kinds that neighbours compare by hashes; evidence is published again instead.
SUMMARIZED_KINDS = frozenset((UpdateKind.MEMBER, UpdateKind.TARGETS))
# Names of nodes that are remembered after the nodes were lost.
NAMES_REMEMBERED: Final = 4096


def make_update_key(kind: str, name: str) -> str:
    """Return the key of an update in the table and its summary.

    >>> make_update_key('m', 'node-1')
    'mnode-1'
    """
    return f'{kind}{name}'


def find_reachable(
    records: Mapping[str, NodeRecord],
    root: str,
) -> frozenset[str]:
    """Return the nodes from which messages can get to `root`.

    The graph's edges lead from a node to those that it receives from. So a
    one-way partition removes one edge, and a dead host all of its edges.
    """
    reached = {root}
    waiting = deque((root,))
    while waiting:
        record = records.get(waiting.popleft())
        senders = () if record is None else record.receives_from
        fresh = [
            name for name in senders if name in records and name not in reached
        ]
        reached.update(fresh)
        waiting.extend(fresh)
    return frozenset(reached)


class StateTable:
    """Hold the newest update of each kind and name.

    `known_before` names the nodes of which an earlier process was known here,
    the latest ones last.
    """

    def __init__(self, codec: RecordCodec) -> None:
        """Start empty."""
        self.records: dict[str, NodeRecord] = {}
        self.summary = Summary()
        self.alive: frozenset[str] = frozenset()
        self.members_stale = False
        self.known_before: dict[str, None] = {}
        self.held_bytes = 0
        self._codec = codec
        self._held: dict[str, StateUpdate] = {}

    def __len__(self) -> int:
        """Return how many updates are held."""
        return len(self._held)

    def get(self, kind: str, name: str) -> StateUpdate | None:
        """Return a node's newest update of a kind."""
        return self._held.get(make_update_key(kind, name))

    def get_by_key(self, key: str) -> StateUpdate | None:
        """Return an update by its key."""
        return self._held.get(key)

    def is_newer(self, key: str, incarnation: int, version: int) -> bool:
        """Return whether such a version would replace the held one."""
        held = self._held.get(key)
        if held is None:
            return True
        return (incarnation, version) > (held.incarnation, held.version)

    def accept(self, update: StateUpdate) -> bool:
        """Store an update if it is newer than the held one."""
        key = make_update_key(update.kind, update.name)
        if not self.is_newer(key, update.incarnation, update.version):
            return False
        if update.kind == UpdateKind.MEMBER and not self._adopt_record(update):
            return False
        if update.kind == UpdateKind.MEMBER:
            if has_known_before(self, update.name, update.incarnation):
                _remember(self.known_before, update.name)
        self._drop(key)
        self._held[key] = update
        self.held_bytes += len(update.payload)
        if update.name in self.alive:
            self._summarize(update)
        return True

    def refresh_alive(self, root: str) -> frozenset[str]:
        """Compute the reachable nodes; return the names that changed."""
        self.members_stale = False
        before = self.alive
        self.alive = find_reachable(self.records, root)
        changed = before ^ self.alive
        for update in self._updates_of(changed):
            if update.name in self.alive:
                self._summarize(update)
            else:
                self.summary.drop(make_update_key(update.kind, update.name))
        return changed

    def forget(self, name: str) -> None:
        """Drop all updates of a lost node."""
        if self.records.pop(name, None) is not None:
            _remember(self.known_before, name)
        for kind in UpdateKind:
            key = make_update_key(kind, name)
            self._drop(key)
            self.summary.drop(key)

    def _drop(self, key: str) -> None:
        held = self._held.pop(key, None)
        if held is not None:
            self.held_bytes -= len(held.payload)

    def _adopt_record(self, update: StateUpdate) -> bool:
        record = self._codec.decode_record(update.payload)
        if record is None or record.name != update.name:
            return False
        before = self.records.get(update.name)
        if before is None or before.receives_from != record.receives_from:
            self.members_stale = True
        self.records[update.name] = record
        return True

    def _summarize(self, update: StateUpdate) -> None:
        if update.kind in SUMMARIZED_KINDS:
            key = make_update_key(update.kind, update.name)
            self.summary.put(
                Version(key, update.incarnation, update.version),
            )

    def _updates_of(self, names: frozenset[str]) -> Iterator[StateUpdate]:
        for name in names:
            for kind in UpdateKind:
                held = self.get(kind, name)
                if held is not None:
                    yield held


def has_known_before(table: StateTable, name: str, incarnation: int) -> bool:
    """Return whether a process of a node before this one was known here."""
    held = table.get(UpdateKind.MEMBER, name)
    if held is not None and held.incarnation < incarnation:
        return True
    return name in table.known_before


def _remember(names: dict[str, None], name: str) -> None:
    """Remember a name as the latest one; the oldest goes."""
    names.pop(name, None)
    names[name] = None
    if len(names) > NAMES_REMEMBERED:
        names.pop(next(iter(names)))
