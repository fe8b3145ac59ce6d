"""A node whose targets are reached only through the node beside them."""

import asyncio
from collections.abc import Coroutine
from random import Random
from typing import Final

from expression import Error, Result
from msgspec.structs import replace

from hillfield.clocks import monotonic
from hillfield.fleet import Fleet, FleetSettings
from hillfield.fleet.openrelay import OpenRelay
from hillfield.gate import Gate, GatePlans, Seating, add_room
from hillfield.hostroutes import RouteTable
from hillfield.model import Address
from hillfield.node.calls import CallMeter
from hillfield.node.exchanges import (
    make_crash_memory,
    make_crashes,
    make_end_watch,
    make_quotas,
    make_reporting,
)
from hillfield.node.fittings import Fittings, make_gated_parts
from hillfield.node.node import Node, NodeError
from hillfield.node.parts import Recording
from hillfield.proxy import ProxyServer
from hillfield.settings import NodeSettings
from hillfield.timers import Appointment, find_timer

# Seconds between looks at who waits at the gate.
GATE_TICK: Final = 0.1
# Seconds between looks at what is due in the fleet and at who waits here: on
# a small host each wake-up is paid for.
CALM_TICK: Final = 0.2
# Seconds for which a gate that is to stop still takes work: most of it ends
# within what is left of the 6 s until the process is killed. While hosts are
# restarted one a second it gives back 1.4 of some 5 s without their target.
STAYING: Final = 1.4
# Seconds in which the fleet hears that this host's target gets no more.
FAREWELL: Final = 0.5
# Seconds after which no caller comes any more: it is asked once a second
# whether the node is ready, and two answers must be missed.
OUT_OF_SIGHT: Final = 2.4
# A node publishes its target's first heartbeat at once: it holds no other.
SETTLE: Final[float] = 0
# Links that a node keeps up by itself: fewer means fewer copies of news.
DIALLED: Final = 2
# Seconds between heartbeats of links, and of silence after which a neighbour
# counts as lost: a change is to be in force in 2 s, also where neighbours
# were killed at the same moment.
HEARTBEAT: Final = 0.5
SUSPECT_AFTER: Final = 1.5
# Seconds after which a configuration that a peer has told of and not sent is
# asked of another: it may have been killed. A peer answers in 20 ms.
PULL_AGAIN: Final = 0.4
# Seconds for which news for another failure domain is gathered, so that
# several records of one node go across as one. A target's leaving binds at
# its gate, so nothing hangs on it. With 0.6 s and a domain's own news only,
# 20 restarts of 21 nodes tell 0.37 MB across, before 1.06 MB (modelled).
DEAR_FLUSH: Final = 0.6


class GatedNode(Node):
    """Serve callers here, and hand other nodes' requests to the target."""

    tick = CALM_TICK

    def __init__(
        self,
        settings: NodeSettings,
        recording: Recording,
        fittings: Fittings,
    ) -> None:
        """Build the parts; nothing is opened before `start`."""
        self.gate = Gate(recording.journal)
        meter = CallMeter(recording.metrics, self.gate.calls)
        self.crashes = make_crashes(settings, fittings, recording.journal)
        parts = make_gated_parts(
            settings,
            recording,
            fittings,
            meter,
            self.crashes.at_callers,
        )
        super().__init__(settings, parts)
        self.watch.listeners.append(self.gate.excuse)
        self.seating = Seating(parts.registry, self.gate)
        self._fittings = fittings
        self._hops = ProxyServer(
            add_room(fittings.hops, self.gate),
            GatePlans(self.gate, fittings.checks),
            self.gate,
            recording.journal,
            guard=self.crashes.at_gate,
        )
        self._ends = make_end_watch(self.gate, self._hops, self.crashes)
        self._reporting = make_reporting(parts, fittings, self.gate)
        self._quotas = make_quotas(parts, fittings)
        self._listeners = (
            *fittings.make_listeners(self.seating, self.page),
            self._reporting,
            self._quotas,
            self.crashes,
        )
        self._gate_ticking: Appointment | None = None
        fittings.planner.listener = self._adopt_table

    async def abandon(self) -> None:
        """End at once, as a crash does: nothing is finished or told."""
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
        for listener in self._listeners:
            listener.start()
        self._gate_ticking = find_timer().every(GATE_TICK, self._tick_gate)
        return listening

    def _make_fleet_settings(self, control: Address) -> FleetSettings:
        return replace(
            super()._make_fleet_settings(control),
            settle=SETTLE,
            sparse=True,
            tick=CALM_TICK,
            dialled_links=DIALLED,
            pull_again=PULL_AGAIN,
            heartbeat=HEARTBEAT,
            suspect_after=SUSPECT_AFTER,
            dear_flush_after=DEAR_FLUSH,
        )

    def _list_work(
        self,
        fleet: Fleet,
    ) -> tuple[Coroutine[None, None, None], ...]:
        self._reporting.join(fleet.state.core)
        self._quotas.join(fleet.state.core)
        self.crashes.book.join(fleet.state.core)
        self.page.book = self.crashes.book
        relay = OpenRelay(
            fleet,
            self.parts.store,
            self._fittings.relay,
            Random(),
            self.parts.journal,
        )
        memory = make_crash_memory(self.parts, self.crashes)
        return relay.run(), memory.run()

    async def _drain(self) -> None:
        # The store is followed by others from now on.
        for task in self._tasks:
            task.cancel()
        await asyncio.sleep(STAYING)
        if self.ticker is not None:
            self.ticker.withdraw_targets()
        await asyncio.sleep(FAREWELL)
        self.gate.closing = True
        await asyncio.sleep(OUT_OF_SIGHT - STAYING - FAREWELL)
        await asyncio.gather(self.parts.proxy.drain(), self._hops.drain())
        self._stop_ticking()
        await self._stop_listeners()

    def _stop_ticking(self) -> None:
        self._ends.stop()
        if self._gate_ticking is not None:
            self._gate_ticking.cancel()

    async def _stop_listeners(self) -> None:
        await asyncio.gather(
            *(listener.stop() for listener in self._listeners),
        )

    def _tick_gate(self) -> None:
        now = monotonic()
        self.watch.look(now)
        self.seating.follow_expiry(now)
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
