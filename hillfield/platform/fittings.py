"""Fit a node to the platform."""

from random import Random
from typing import Final

from hillfield.fleet.store_feed import FeedSettings
from hillfield.gate import HopDialect, ServedIncarnation
from hillfield.holding import build_budget, compute_limits, lift_target_limit
from hillfield.hostroutes import HostPlanner, PlannerSettings, make_policy
from hillfield.model import Address
from hillfield.node.adapterparts import AdapterParts, ExtraListener
from hillfield.node.departures import DepartureStorage
from hillfield.node.gated import GatedNode
from hillfield.node.page import NodePage
from hillfield.node.parts import Recording, open_recording
from hillfield.node.stopping import plan_stop
from hillfield.platform.boot import Boot
from hillfield.platform.headers import (
    CALLERS,
    HOPS,
    ONCE,
    REPEATABLE,
    SIGNED,
    WORDS,
    TargetHeaders,
)
from hillfield.platform.heartbeats import (
    make_heartbeat_server,
    make_ready_server,
)
from hillfield.platform.routes import KEY, read_routes
from hillfield.platform.store import PlatformStore
from hillfield.proxy import ProxySettings, UnknownHeaders
from hillfield.store import FollowSettings, RetrySettings, StoreSettings

# Seconds of a connection attempt between hosts, whose way takes 3 ms: one
# to a host that is cut off would hang.
CONNECT_SECONDS: Final = 0.3
# Seconds that a call to the store may take: it answers in 4 ms.
CALL_SECONDS: Final = 2.0
STORE_CONNECT_SECONDS: Final = 1.0
# A watch ends by itself, so it needs no turns.
TURN: Final = 3600.0
FIRST_WAIT: Final = 0.3
LONGEST_WAIT: Final = 2.0
TRIAL: Final = 3.0
STORE_RETRIES: Final = RetrySettings(FIRST_WAIT, LONGEST_WAIT, TRIAL)
# Seconds after which a gate that has not answered shows that it has the
# request, and within which the node that sent it expects to see that.
SIGN_AFTER: Final = 0.1
SIGN_WITHIN: Final = 0.4
# Seconds without an answer after which a way to a node is doubtful: of the
# requests that go a way that has just been cut, as few should be in doubt as
# are under way anyhow, and those take about so long.
HAND_OVER_AFTER: Final = 1.0
# Seconds that a connection between nodes is kept while idle.
HOP_IDLE_SECONDS: Final = 30.0


class PlatformParts:
    """Make what listens and speaks for the node of a host."""

    def __init__(self, boot: Boot, recording: Recording) -> None:
        """Prepare; the node joins once it is made."""
        self._boot = boot
        self._recording = recording
        self._node: GatedNode | None = None
        self._stop = plan_stop(boot.grace)
        self._budget = build_budget(compute_limits(boot.memory))

    def join(self, node: GatedNode) -> None:
        """Take the node whose target is spoken with."""
        self._node = node

    def find_seat(self) -> ServedIncarnation | None:
        """Return the present life of the host's target."""
        return None if self._node is None else self._node.gate.serving

    def make_listeners(
        self,
        departures: DepartureStorage,
        page: NodePage,
    ) -> tuple[ExtraListener, ...]:
        """Return the servers for heartbeats and for the platform."""
        boot = self._boot
        journal = self._recording.journal
        return (
            make_heartbeat_server(boot.heartbeats, departures, journal),
            make_ready_server(boot.ready, page),
        )

    def make_fittings(self) -> AdapterParts:
        """Return what the platform brings to a node."""
        return AdapterParts(
            planner=make_planner(self._boot, self._recording),
            repeats=self._boot.repeats,
            store=self._make_store(),
            callers=self._make_caller_settings(),
            hops=self._make_hop_settings(),
            reports=self._boot.reports,
            quotas=self._boot.quotas,
            crashes=self._boot.crashes,
            departures=self._boot.departures,
            checks=SIGNED,
            stop=self._stop,
            relay=FeedSettings(
                (KEY,),
                FollowSettings(turn=TURN, retries=STORE_RETRIES),
            ),
            make_listeners=self.make_listeners,
        )

    def _make_store(self) -> PlatformStore:
        settings = self._boot.settings
        return PlatformStore(
            StoreSettings(
                settings.stores,
                settings.name,
                connect_timeout=STORE_CONNECT_SECONDS,
                call_timeout=CALL_SECONDS,
            ),
            self._recording.journal,
        )

    def _make_caller_settings(self) -> ProxySettings:
        return self._make_proxy_settings(
            self._boot.settings.listen.callers,
            pool_idle_timeout=HOP_IDLE_SECONDS,
            gate_port=self._boot.hops.port,
            keepalive_within=SIGN_WITHIN,
            two_step_after=HAND_OVER_AFTER,
            callers=CALLERS,
            targets=HopDialect(),
            budget=lift_target_limit(self._budget),
        )

    def _make_hop_settings(self) -> ProxySettings:
        return self._make_proxy_settings(
            self._boot.hops,
            idle_timeout=2 * HOP_IDLE_SECONDS,
            keepalive_after=SIGN_AFTER,
            # Nodes send one request at a time on a connection.
            pipeline_depth=1,
            callers=HOPS,
            targets=TargetHeaders(
                self.find_seat,
                UnknownHeaders(
                    WORDS.list_names(),
                    self._recording.journal,
                    self._recording.metrics.record_unknown_header,
                ),
            ),
            budget=self._budget,
        )

    def _make_proxy_settings(
        self,
        address: Address,
        **more: object,
    ) -> ProxySettings:
        boot = self._boot
        stop = self._stop
        return ProxySettings(
            address,
            node='',
            connection_limit=boot.settings.limits.connections,
            connect_timeout=CONNECT_SECONDS,
            drain_grace=stop.last_request - stop.stop_listening,
            drain_timeout=stop.last_answers - stop.stop_listening,
            **more,  # type: ignore[arg-type]
        )


def make_node(boot: Boot) -> GatedNode:
    """Return the node of a host."""
    recording = open_recording(boot.settings)
    parts = PlatformParts(boot, recording)
    node = GatedNode(boot.settings, recording, parts.make_fittings())
    parts.join(node)
    return node


def make_planner(boot: Boot, recording: Recording) -> HostPlanner:
    """Return the planner of a host's requests."""
    policy = make_policy(boot.repeats.ratio, boot.floor)
    return HostPlanner(
        PlannerSettings(KEY, boot.service, policy, ONCE, REPEATABLE),
        read_routes,
        Random(),
        recording.journal,
    )
