"""The targets of the fleet by service, read only when asked for."""

from msgspec import Struct

from hillfield.fleet.state_table import StateTable
from hillfield.fleet.records import Kind, RecordCodec
from hillfield.model import Target


class ListedServices(Struct, frozen=True):
    """Say of one node which services its targets serve."""

    services: tuple[str, ...]


class TargetView:
    """Find targets by service; `revision_of` counts a service's changes.

    Payloads stay coded and are read for the services that are asked for, so
    that a node pays only for what it proxies.
    """

    def __init__(self, book: StateTable, codec: RecordCodec) -> None:
        """Show the targets of a book's statements."""
        self._book = book
        self._codec = codec
        self._shown: dict[str, ListedServices] = {}
        self._nodes: dict[str, set[str]] = {}
        self._revisions: dict[str, int] = {}
        self._cache: dict[str, tuple[Target, ...]] = {}
        self._changed: set[str] = set()

    @property
    def services(self) -> tuple[str, ...]:
        """Return the services that have targets."""
        return tuple(sorted(self._nodes))

    def revision_of(self, service: str) -> int:
        """Return a number that grows with each change of a service."""
        return self._revisions.get(service, 0)

    def targets_of(self, service: str) -> tuple[Target, ...]:
        """Return the targets of a service."""
        if service not in self._cache:
            self._cache[service] = tuple(
                target
                for name in sorted(self._nodes.get(service, ()))
                for target in self._read(name)
                if target.id.service == service
            )
        return self._cache[service]

    def targets(self) -> tuple[Target, ...]:
        """Return all targets, read anew: dear at full size."""
        return tuple(
            target
            for name in sorted(self._shown)
            for target in self._read(name)
        )

    def update_node(self, name: str) -> None:
        """Show what a node's latest statement says."""
        found = self._read(name)
        services = tuple(sorted({target.id.service for target in found}))
        before = self._shown.pop(name, ListedServices(()))
        for gone in before.services:
            self._unlist(gone, name)
        if services:
            self._shown[name] = ListedServices(services)
        for service in services:
            self._nodes.setdefault(service, set()).add(name)
        self._touch(before.services + services)

    def remove_node(self, name: str) -> None:
        """Show a node's targets no longer."""
        before = self._shown.pop(name, ListedServices(()))
        for gone in before.services:
            self._unlist(gone, name)
        self._touch(before.services)

    def lists_node(self, name: str) -> bool:
        """Return whether a node's targets are shown."""
        return name in self._shown

    def pop_changed(self) -> frozenset[str]:
        """Return the services that changed since the last call."""
        changed = frozenset(self._changed)
        self._changed.clear()
        return changed

    def _read(self, name: str) -> tuple[Target, ...]:
        statement = self._book.get(Kind.TARGETS, name)
        record = self._book.records.get(name)
        if statement is None or record is None:
            return ()
        return self._codec.decode_targets(record.locality, statement.payload)

    def _unlist(self, service: str, name: str) -> None:
        nodes = self._nodes[service]
        nodes.discard(name)
        if not nodes:
            self._nodes.pop(service)

    def _touch(self, services: tuple[str, ...]) -> None:
        for service in services:
            self._cache.pop(service, None)
            self._revisions[service] = self.revision_of(service) + 1
            self._changed.add(service)
