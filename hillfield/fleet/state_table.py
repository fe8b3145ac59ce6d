"""The newest statement of each node, and who can be reached."""

from collections import deque
from collections.abc import Iterator, Mapping

from hillfield.fleet.messages import Statement, Version
from hillfield.fleet.records import Kind, NodeRecord, RecordCodec
from hillfield.fleet.replication.summary import Summary

SUMMARIZED_KINDS = frozenset((Kind.MEMBER, Kind.TARGETS))


def make_update_key(kind: str, name: str) -> str:
    """Return the key under which a statement is summed up.

    >>> make_update_key('m', 'node-1')
    'mnode-1'
    """
    return f'{kind}{name}'


def find_reachable(
    records: Mapping[str, NodeRecord],
    root: str,
) -> frozenset[str]:
    """Return the nodes whose messages can get to `root`.

    A node is reached over those that hear it: so a one-way path takes away
    one edge, and a dead host all of its edges.
    """
    reached = {root}
    waiting = deque((root,))
    while waiting:
        record = records.get(waiting.popleft())
        heard = () if record is None else record.receives_from
        fresh = [
            name for name in heard if name in records and name not in reached
        ]
        reached.update(fresh)
        waiting.extend(fresh)
    return frozenset(reached)


class StateTable:
    """Hold the newest statement of each kind and name."""

    def __init__(self, codec: RecordCodec) -> None:
        """Start empty."""
        self.records: dict[str, NodeRecord] = {}
        self.summary = Summary()
        self.alive: frozenset[str] = frozenset()
        self.members_stale = False
        self.held_bytes = 0
        self._codec = codec
        self._held: dict[str, Statement] = {}

    def __len__(self) -> int:
        """Return how many statements are held."""
        return len(self._held)

    def get(self, kind: str, name: str) -> Statement | None:
        """Return what a node said last."""
        return self._held.get(make_update_key(kind, name))

    def get_by_key(self, key: str) -> Statement | None:
        """Return a statement by its key."""
        return self._held.get(key)

    def is_newer(self, key: str, incarnation: int, version: int) -> bool:
        """Return whether such a version would replace what is held."""
        held = self._held.get(key)
        if held is None:
            return True
        return (incarnation, version) > (held.incarnation, held.version)

    def accept(self, statement: Statement) -> bool:
        """Take a statement if it is newer than what is held."""
        key = make_update_key(statement.kind, statement.name)
        if not self.is_newer(key, statement.incarnation, statement.version):
            return False
        if statement.kind == Kind.MEMBER and not self._read(statement):
            return False
        self._drop(key)
        self._held[key] = statement
        self.held_bytes += len(statement.payload)
        if statement.name in self.alive:
            self._sum_up(statement)
        return True

    def refresh_alive(self, root: str) -> frozenset[str]:
        """Find anew who is alive; return the names that changed."""
        self.members_stale = False
        before = self.alive
        self.alive = find_reachable(self.records, root)
        changed = before ^ self.alive
        for statement in self._statements_of(changed):
            if statement.name in self.alive:
                self._sum_up(statement)
            else:
                self.summary.drop(
                    make_update_key(statement.kind, statement.name)
                )
        return changed

    def forget(self, name: str) -> None:
        """Drop all that a lost node said."""
        self.records.pop(name, None)
        for kind in Kind:
            key = make_update_key(kind, name)
            self._drop(key)
            self.summary.drop(key)

    def _drop(self, key: str) -> None:
        held = self._held.pop(key, None)
        if held is not None:
            self.held_bytes -= len(held.payload)

    def _read(self, statement: Statement) -> bool:
        record = self._codec.decode_record(statement.payload)
        if record is None or record.name != statement.name:
            return False
        before = self.records.get(statement.name)
        if before is None or before.receives_from != record.receives_from:
            self.members_stale = True
        self.records[statement.name] = record
        return True

    def _sum_up(self, statement: Statement) -> None:
        if statement.kind in SUMMARIZED_KINDS:
            key = make_update_key(statement.kind, statement.name)
            self.summary.put(
                Version(key, statement.incarnation, statement.version),
            )

    def _statements_of(self, names: frozenset[str]) -> Iterator[Statement]:
        for name in names:
            for kind in Kind:
                held = self.get(kind, name)
                if held is not None:
                    yield held
