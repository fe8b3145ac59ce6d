"""A node that reaches each target through the gate on the target's host."""

import asyncio
from collections.abc import Coroutine
from random import Random
from typing import Final

from expression import Error, Result
from msgspec.structs import replace

from hillfield.clocks import monotonic
from hillfield.fleet import Fleet, FleetSettings
from hillfield.fleet.store_watcher import StoreWatcher
from hillfield.gate import (
    Gate,
    GatePlans,
    IncarnationTracker,
    make_gate_settings,
    HOP_HEAD_ROOM,
)
from hillfield.hostroutes import RouteLimits, RouteTable
from hillfield.model import Address
from hillfield.node.adapterparts import AdapterParts, build_gated_parts
from hillfield.node.calls import CallMeter
from hillfield.node.exchanges import (
    build_crash_exchange,
    build_crash_storage,
    build_departure_exchange,
    build_departure_storage,
    build_exit_watch,
    build_load_reporting,
    build_quota_exchange,
)
from hillfield.node.node import Node, NodeError
from hillfield.node.parts import Recording
from hillfield.proxy import ProxyServer
from hillfield.settings import NodeSettings
from hillfield.timers import ScheduledCall, get_shared_timer

# Seconds between checks of the requests that wait at the gate.
GATE_TICK: Final = 0.1
# Seconds between checks of timers of the fleet and of waiting requests; on a
# small host each wake-up costs processor time that requests need.
FLEET_TICK: Final = 0.2
# A node publishes its target at the first heartbeat: it has no other target to
# wait for.
SETTLE_SECONDS: Final[float] = 0
# Links that a node dials itself; fewer links mean fewer copies of each update.
DIALLED_LINKS: Final = 2
# Seconds between heartbeats of links, and of silence after which a peer counts
# as lost: a change must be in force within 2 s, even if peers are killed at the
# same moment.
HEARTBEAT: Final = 0.5
SUSPECT_AFTER: Final = 1.5
# Seconds after which a configuration entry that a peer offered but did not send
# is requested from another peer, since the first may have been killed. A peer
# normally answers in 20 ms.
PULL_AGAIN: Final = 0.4
# Seconds for which updates for another failure domain are batched, so that
# several updates of one node are sent as one. A target's draining takes effect
# at its gate, so the delay does no harm. With 0.6 s and only a failure domain's
# own updates, 20 restarts of 21 nodes send 0.37 MB to other failure domains
# instead of 1.06 MB (modelled).
CROSS_DOMAIN_FLUSH: Final = 0.6


class GatedNode(Node):
    """Serve local callers, and forward other nodes' requests to the target."""

    tick = FLEET_TICK

    def __init__(
        self,
        settings: NodeSettings,
        recording: Recording,
        fittings: AdapterParts,
    ) -> None:
        """Build the parts; nothing is opened before `start`."""
        self.gate = Gate(recording.journal, fittings.repeats)
        self.gate.count_repeats(recording.metrics.record_repeat)
        meter = CallMeter(recording.metrics, self.gate.failed_calls)
        self.crashes = build_crash_exchange(
            settings, fittings, recording.journal
        )
        parts = build_gated_parts(
            settings,
            recording,
            fittings,
            meter,
            self.crashes.at_callers,
        )
        super().__init__(settings, parts)
        self.watch.listeners.append(self.gate.discount_pause)
        self.seating = IncarnationTracker(parts.registry, self.gate)
        self._fittings = fittings
        self._hops = ProxyServer(
            make_gate_settings(fittings.hops, self.gate),
            GatePlans(self.gate, fittings.checks),
            self.gate,
            recording.journal,
            guard=self.crashes.at_gate,
        )
        self._exit_watch = build_exit_watch(self.gate, self._hops, self.crashes)
        self._reporting = build_load_reporting(parts, fittings, self.gate)
        self._quotas = build_quota_exchange(parts, fittings)
        self._departures = build_departure_storage(parts, self.seating)
        self._departure_exchange = build_departure_exchange(
            parts, fittings, self._departures
        )
        self._listeners = (
            *fittings.make_listeners(self._departures, self.page),
            self._reporting,
            self._quotas,
            self.crashes,
            self._departure_exchange,
        )
        self._gate_ticking: ScheduledCall | None = None
        self._hop_head_limit = fittings.hops.head_limit + HOP_HEAD_ROOM
        fittings.planner.listener = self._adopt_table
        fittings.planner.runs = self.gate
        self.gate.watch_shares(parts.dispatchers.compute_repeats_share)

    async def abandon(self) -> None:
        """Stop at once, as in a crash; nothing is finished or announced."""
        self._stop_ticking()
        self._hops.abandon()
        await super().abandon()
        await self._stop_listeners()

    def _listen(self) -> Result[Address, NodeError]:
        listening = super()._listen()
        if listening.is_error():
            return listening
        try:
            self._hops.start()
        except OSError as failed:
            peer = str(self._fittings.hops.address)
            return Error(NodeError('listen', peer, str(failed)))
        self.seating.held.start(monotonic())
        for listener in self._listeners:
            listener.start()
        self._gate_ticking = get_shared_timer().every(
            GATE_TICK, self._tick_gate
        )
        return listening

    def _make_fleet_settings(self, control: Address) -> FleetSettings:
        return replace(
            super()._make_fleet_settings(control),
            settle=SETTLE_SECONDS,
            sparse=True,
            tick=FLEET_TICK,
            dialled_links=DIALLED_LINKS,
            pull_again=PULL_AGAIN,
            heartbeat=HEARTBEAT,
            suspect_after=SUSPECT_AFTER,
            dear_flush_after=CROSS_DOMAIN_FLUSH,
        )

    def _list_work(
        self,
        fleet: Fleet,
    ) -> tuple[Coroutine[None, None, None], ...]:
        core = fleet.state.core
        self._reporting.join(core)
        self._quotas.join(core)
        self.crashes.tracker.join(core)
        self._departure_exchange.join(core)
        self.page.crash_tracker = self.crashes.tracker
        relay = StoreWatcher(
            fleet,
            self.parts.store,
            self._fittings.relay,
            Random(),
            self.parts.journal,
        )
        memory = build_crash_storage(self.parts, self.crashes)
        return relay.run(), memory.run(), self._departures.run(core)

    async def _drain(self) -> None:
        # Other nodes watch the store from now on.
        for task in self._tasks:
            task.cancel()
        began = monotonic()
        schedule = self._fittings.stop
        await _sleep_until(began + schedule.withdraw_target)
        if self.ticker is not None:
            self.ticker.withdraw_targets()
        await _sleep_until(began + schedule.close_gate)
        self.gate.closing = True
        await _sleep_until(began + schedule.stop_listening)
        await asyncio.gather(self.parts.proxy.drain(), self._hops.drain())
        self._stop_ticking()
        await self._stop_listeners()

    def _stop_ticking(self) -> None:
        self._exit_watch.stop()
        if self._gate_ticking is not None:
            self._gate_ticking.cancel()

    async def _stop_listeners(self) -> None:
        await asyncio.gather(
            *(listener.stop() for listener in self._listeners),
        )

    def _tick_gate(self) -> None:
        now = monotonic()
        self.watch.check(now)
        self.seating.release_held(now)
        self.seating.drop_expired(now)
        self._hops.deliver(self.gate.poll(now))

    def _adopt_table(self, table: RouteTable) -> None:
        limits = table.limits
        if limits is not None:
            self.parts.proxy.adopt_limits(
                limits.head_bytes,
                limits.body_bytes,
                limits.head_seconds,
                limits.idle_seconds,
            )
            self._adopt_hop_limits(limits)

    def _adopt_hop_limits(self, limits: RouteLimits) -> None:
        """Let the gate take all that other nodes may have accepted.

        They adopt a configuration earlier or later, so its limit never shrinks.
        """
        hops = self._fittings.hops
        widest = limits.head_bytes + HOP_HEAD_ROOM
        self._hop_head_limit = max(self._hop_head_limit, widest)
        self._hops.adopt_limits(
            self._hop_head_limit,
            hops.body_limit,
            hops.head_timeout,
            hops.idle_timeout,
        )


async def _sleep_until(moment: float) -> None:
    await asyncio.sleep(moment - monotonic())
