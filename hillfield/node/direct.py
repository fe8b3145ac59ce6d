"""A node that connects directly to the targets of all hosts."""

from collections.abc import Coroutine
from functools import partial
from random import Random

from hillfield.announcements import TargetRegistry
from hillfield.configuration.serving.replica import Replica
from hillfield.configuration.serving.view import ConfigurationView
from hillfield.detection.healthdetector import HealthDetector
from hillfield.fleet import Fleet
from hillfield.node.daemon import run_until_signal, serve_node
from hillfield.node.dispatchers import DispatcherRegistry
from hillfield.node.node import Node, NodeError
from hillfield.node.parts import (
    Parts,
    make_proxy_settings,
    make_store_settings,
    open_recording,
)
from hillfield.node.probing import Prober
from hillfield.node.relaying import make_relay
from hillfield.proxy import ProxyServer
from hillfield.routing import DispatcherTable
from hillfield.settings import NodeSettings
from hillfield.store.opening import open_store


class DirectNode(Node):
    """Run one node that connects directly to targets.

    `table` replaces the dispatchers in measurements that compare algorithms.
    """

    def __init__(
        self,
        settings: NodeSettings,
        table: DispatcherTable | None = None,
    ) -> None:
        """Build the parts; nothing is opened before `start`."""
        super().__init__(settings, make_parts(settings, table))

    def _list_work(
        self,
        fleet: Fleet,
    ) -> tuple[Coroutine[None, None, None], ...]:
        relaying = make_relay(self.parts, fleet).run()
        probing = Prober(self.parts).run()
        return relaying, probing


def run_node(settings: NodeSettings) -> NodeError | None:
    """Run a node until SIGTERM or SIGINT; return an error if it can't start."""
    return run_until_signal(partial(DirectNode, settings))


async def serve(
    settings: NodeSettings,
    table: DispatcherTable | None = None,
) -> NodeError | None:
    """Run a node in the current loop until a signal."""
    return await serve_node(DirectNode(settings, table))


def make_parts(
    settings: NodeSettings,
    table: DispatcherTable | None = None,
) -> Parts:
    """Build all parts; nothing is opened yet.

    `table` replaces the dispatchers in measurements that compare algorithms.
    """
    recording = open_recording(settings)
    journal = recording.journal
    replica = Replica(settings.cluster, journal)
    configuration = ConfigurationView(replica, journal)
    if table is None:
        table = DispatcherTable(settings.locality, HealthDetector, Random())
    dispatchers = DispatcherRegistry(table, configuration)
    proxy = ProxyServer(
        make_proxy_settings(settings),
        configuration,
        dispatchers,
        journal,
        recording.metrics,
    )
    return Parts(
        settings=settings,
        timeline=recording.timeline,
        metrics=recording.metrics,
        journal=journal,
        registry=TargetRegistry(settings, journal),
        replica=replica,
        configuration=configuration,
        table=table,
        dispatchers=dispatchers,
        proxy=proxy,
        store=open_store(make_store_settings(settings), journal),
    )
