"""The parts that one node is made of."""

from typing import Final, Protocol

from msgspec import Struct

from hillfield.announcements import TargetRegistry
from hillfield.configuration.serving.digests import Digest
from hillfield.events import Timeline
from hillfield.fleet import EntryStore
from hillfield.metrics import NodeMetrics
from hillfield.node.dispatchers import DispatcherRegistry, PolicySource
from hillfield.node.journal import CountingJournal
from hillfield.proxy import PlanSource, ProxyServer, ProxySettings
from hillfield.routing import DispatcherTable
from hillfield.settings import NodeSettings
from hillfield.store.ports import OpenStore
from hillfield.store.store_settings import StoreSettings

PART_SIZE: Final = 65536


class EntryReplica(EntryStore, Protocol):
    """Hold the configuration's entries."""

    def digest(self) -> Digest:
        """Return a digest of the entries."""

    def mark_complete(self) -> None:
        """Record that all entries of the store have been received."""


class ConfigurationSource(PlanSource, PolicySource, Protocol):
    """Provide the configuration in force."""

    def services(self) -> tuple[str, ...]:
        """Return the services that are configured, sorted."""


class Recording(Struct, frozen=True):
    """Hold the receivers of a node's events and counts."""

    timeline: Timeline
    metrics: NodeMetrics
    journal: CountingJournal


class Parts(Struct, frozen=True):
    """Hold a node's parts; the fleet is added once addresses are bound."""

    settings: NodeSettings
    timeline: Timeline
    metrics: NodeMetrics
    journal: CountingJournal
    registry: TargetRegistry
    replica: EntryReplica
    configuration: ConfigurationSource
    table: DispatcherTable
    dispatchers: DispatcherRegistry
    proxy: ProxyServer
    store: OpenStore


def open_recording(settings: NodeSettings) -> Recording:
    """Create the time line, the metrics and the journal of a node."""
    timeline = Timeline(settings)
    metrics = NodeMetrics()
    return Recording(timeline, metrics, CountingJournal(timeline, metrics))


def make_proxy_settings(settings: NodeSettings) -> ProxySettings:
    """Return the settings of the request path."""
    limits = settings.limits
    return ProxySettings(
        address=settings.listen.callers,
        node=settings.name,
        connection_limit=limits.connections,
        head_limit=limits.header_bytes,
        body_limit=limits.body_bytes,
        held_body=limits.replay_bytes,
        part_size=min(PART_SIZE, limits.buffer_bytes),
        head_timeout=limits.header_seconds,
        idle_timeout=limits.idle_seconds,
        drain_timeout=settings.drain_bound,
    )


def make_store_settings(settings: NodeSettings) -> StoreSettings:
    """Return the settings of the store's calls."""
    return StoreSettings(addresses=settings.stores, client=settings.name)
