"""The state of a node as shown at its control address."""

from time import time
from typing import Final

from hillfield.clocks import monotonic
from hillfield.configuration.entries import Entry
from hillfield.control import (
    ConfigurationPage,
    MemberPage,
    Readiness,
    ServicePage,
)
from hillfield.control.loadpages import ServiceLoad
from hillfield.fleet import Fleet, NodeRecord, describe_missing_readiness
from hillfield.fleet.core import Core
from hillfield.model import Target
from hillfield.node.explaining import make_service_page
from hillfield.node.loadview import list_loads
from hillfield.node.parts import Parts
from hillfield.node.refused import RefusedView

ROOT_FORMAT: Final = '016x'


class NodePage(RefusedView):
    """Implement `NodeView` over a node's parts."""

    def __init__(self, parts: Parts) -> None:
        """Start as a node that has not joined its fleet yet."""
        super().__init__()
        self.leaving = False
        self.adopted_at = time()
        self._parts = parts
        self._fleet: Fleet | None = None

    @property
    def joined(self) -> Fleet:
        """Return the fleet; raises `RuntimeError` before the node has started."""
        if self._fleet is None:
            raise RuntimeError('the node has not started')
        return self._fleet

    @property
    def core(self) -> Core:
        """Return this node's state of the fleet."""
        return self.joined.state.core

    def join(self, fleet: Fleet) -> None:
        """Set the fleet that the node has joined."""
        self._fleet = fleet

    def record_adoption(self, entry: Entry) -> None:
        """Record the time at which an entry came into force."""
        self.adopted_at = time()

    def read_readiness(self) -> Readiness:
        """Return whether the node accepts requests, and if not, why."""
        if self._fleet is None:
            return Readiness(ready=False, reasons=('starting',))
        if self.leaving:
            return Readiness(ready=False, reasons=('shutting down',))
        missing = describe_missing_readiness(self.core)
        if missing:
            return Readiness(ready=False, reasons=(f'waits for {missing}',))
        return Readiness(ready=True)

    def explain(self, service: str) -> ServicePage | None:
        """Return the page of a service; None if it is unknown."""
        policy = self._parts.configuration.policy(service)
        known = service in self.core.view.services
        if policy is None and not known:
            return None
        now = monotonic()
        dispatcher = self._parts.dispatchers.for_service(service)
        return make_service_page(
            self._parts.settings.name,
            policy,
            dispatcher.explain(now),
            self.core.view.targets_of(service),
            now,
        )

    def list_services(self) -> tuple[str, ...]:
        """Return the services that can be explained."""
        configured = self._parts.configuration.services()
        announced = self.core.view.services
        return tuple(sorted({*configured, *announced}))

    def list_loads(self) -> tuple[ServiceLoad, ...]:
        """Return the load of each service that callers here have requested."""
        return list_loads(self._parts.table)

    def list_targets(self) -> tuple[Target, ...]:
        """Return all known targets of the fleet."""
        return self.core.view.targets()

    def read_configuration(self) -> ConfigurationPage:
        """Return the state of the configuration."""
        digest = self._parts.replica.digest()
        return ConfigurationPage(
            node=self._parts.settings.name,
            revision=digest.newest,
            root=format(digest.root, ROOT_FORMAT),
            entries=digest.entries,
            adopted_at=self.adopted_at,
        )

    def list_members(self) -> tuple[MemberPage, ...]:
        """Return the nodes of the fleet, this one among them."""
        own = self.core.own.record
        alive = self.core.state_table.alive | {own.name}
        records = {**self.core.state_table.records, own.name: own}
        return tuple(
            make_member_page(record, alive=name in alive)
            for name, record in sorted(records.items())
        )


def make_member_page(record: NodeRecord, *, alive: bool) -> MemberPage:
    """Return the page of one node."""
    return MemberPage(
        node=record.name,
        alive=alive,
        state=record.state.value,
        control=str(record.control),
        region=record.locality.region,
        failure_domain=record.locality.failure_domain,
        host=record.locality.host,
    )
