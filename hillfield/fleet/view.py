"""The targets of the fleet by service, decoded on demand."""

from msgspec import Struct

from hillfield.fleet.records import RecordCodec, UpdateKind
from hillfield.fleet.state_table import StateTable
from hillfield.model import Target


class ListedServices(Struct, frozen=True):
    """Name the services of one node's targets."""

    services: tuple[str, ...]


class TargetView:
    """Look up targets by service; `revision_of` counts a service's changes.

    Payloads stay encoded and are decoded only for services that are asked
    for, so that a node pays only for the services that it proxies.
    """

    def __init__(self, table: StateTable, codec: RecordCodec) -> None:
        """Read the targets of a state table's updates."""
        self._table = table
        self._codec = codec
        self._listed: dict[str, ListedServices] = {}
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
                for target in self._decode_targets(name)
                if target.id.service == service
            )
        return self._cache[service]

    def targets(self) -> tuple[Target, ...]:
        """Return all targets; decodes every payload, costly in large fleets."""
        return tuple(
            target
            for name in sorted(self._listed)
            for target in self._decode_targets(name)
        )

    def update_node(self, name: str) -> None:
        """List the targets of a node's latest update."""
        found = self._decode_targets(name)
        services = tuple(sorted({target.id.service for target in found}))
        before = self._listed.pop(name, ListedServices(()))
        for gone in before.services:
            self._unlist(gone, name)
        if services:
            self._listed[name] = ListedServices(services)
        for service in services:
            self._nodes.setdefault(service, set()).add(name)
        self._mark_changed(before.services + services)

    def remove_node(self, name: str) -> None:
        """Remove a node's targets from the lists."""
        before = self._listed.pop(name, ListedServices(()))
        for gone in before.services:
            self._unlist(gone, name)
        self._mark_changed(before.services)

    def lists_node(self, name: str) -> bool:
        """Return whether a node's targets are listed."""
        return name in self._listed

    def pop_changed(self) -> frozenset[str]:
        """Return the services that changed since the last call."""
        changed = frozenset(self._changed)
        self._changed.clear()
        return changed

    def _decode_targets(self, name: str) -> tuple[Target, ...]:
        update = self._table.get(UpdateKind.TARGETS, name)
        record = self._table.records.get(name)
        if update is None or record is None:
            return ()
        return self._codec.decode_targets(record.locality, update.payload)

    def _unlist(self, service: str, name: str) -> None:
        nodes = self._nodes[service]
        nodes.discard(name)
        if not nodes:
            self._nodes.pop(service)

    def _mark_changed(self, services: tuple[str, ...]) -> None:
        for service in services:
            self._cache.pop(service, None)
            self._revisions[service] = self.revision_of(service) + 1
            self._changed.add(service)
