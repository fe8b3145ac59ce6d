"""Start and stop of a node and its parts."""

import asyncio
from collections.abc import Coroutine
from functools import partial
from typing import Final

from expression import Error, Ok, Result
from msgspec import Struct

from hillfield.clocks import read_wall
from hillfield.control import ControlPorts, ControlServer
from hillfield.events import EventCode, Occurrence
from hillfield.fleet import Fleet, FleetListeners, FleetSettings
from hillfield.model import Address
from hillfield.node.lateness import LoopWatch, discount_target_pauses
from hillfield.node.page import NodePage
from hillfield.node.parts import Parts
from hillfield.node.reading import NodeGauges
from hillfield.node.ticking import TICK_SECONDS, Ticker
from hillfield.proxy import freeze_startup_memory
from hillfield.settings import NodeSettings
from hillfield.timers import ScheduledCall, get_shared_timer

# Seconds for a store relay to release its slot, so that other nodes need not
# wait until its lease expires.
STOP_BOUND: Final = 2.0


class NodeError(Struct, frozen=True):
    """Hold the step and address at which the start of a node failed."""

    step: str
    peer: str
    detail: str


class Node:
    """Run one node inside a running loop; `tick` is in seconds."""

    tick: float = TICK_SECONDS

    def __init__(
        self,
        settings: NodeSettings,
        parts: Parts,
    ) -> None:
        """Connect the parts; nothing is opened before `start`."""
        self.parts = parts
        self.page = NodePage(self.parts)
        self.watch = LoopWatch(parts.journal, parts.metrics)
        self.watch.listeners += (
            parts.registry.discount_pause,
            partial(discount_target_pauses, parts.table),
        )
        ports = ControlPorts(
            registry=self.parts.registry,
            timeline=self.parts.timeline,
            metrics=self.parts.metrics,
            view=self.page,
        )
        self._control = ControlServer(settings, ports)
        self.ticker: Ticker | None = None
        self._ticking: ScheduledCall | None = None
        self._tasks: tuple[asyncio.Task[None], ...] = ()

    @property
    def fleet(self) -> Fleet:
        """Return this node's fleet, once started."""
        return self.page.joined

    async def start(self) -> Result[Address, NodeError]:
        """Open all sockets; return the address that callers connect to."""
        listening = self._listen()
        if listening.is_error():
            return Error(listening.error)
        control = listening.ok
        fleet = self._make_fleet(control)
        opened = await fleet.start()
        if opened.is_error():
            failure = opened.error
            return Error(NodeError('listen', failure.peer, failure.detail))
        self._join(fleet)
        self._record_start(control, opened.ok)
        freeze_startup_memory()
        return Ok(self.parts.proxy.address)

    async def stop(self) -> None:
        """Finish requests in flight, announce leaving, and close all sockets."""
        self.parts.journal.record(Occurrence(EventCode.NODE_DRAINING))
        self.page.leaving = True
        await self._drain()
        if self._ticking is not None:
            self._ticking.cancel()
        for task in self._tasks:
            task.cancel()
        await asyncio.wait(self._tasks, timeout=STOP_BOUND)
        await self.fleet.stop()
        await self._control.stop()
        self.parts.journal.record(Occurrence(EventCode.NODE_STOPPED))

    async def abandon(self) -> None:
        """Stop at once, as in a crash; nothing is finished or announced."""
        if self._ticking is not None:
            self._ticking.cancel()
        for task in self._tasks:
            task.cancel()
        self.parts.proxy.abandon()
        self.fleet.abandon()
        await self._control.stop()

    async def _drain(self) -> None:
        await self.parts.proxy.drain()

    def _listen(self) -> Result[Address, NodeError]:
        listen = self.parts.settings.listen
        try:
            self.parts.proxy.start()
        except OSError as failed:
            return Error(NodeError('listen', str(listen.callers), str(failed)))
        try:
            return Ok(self._control.start())
        except OSError as refused:
            return Error(NodeError('listen', str(listen.control), str(refused)))

    def _record_start(self, control: Address, links: Address) -> None:
        callers = self.parts.proxy.address
        detail = f'callers {callers}, control {control}, links {links}'
        self.parts.journal.record(
            Occurrence(EventCode.NODE_STARTED, detail=detail),
        )

    def _make_fleet(self, control: Address) -> Fleet:
        dispatchers = self.parts.dispatchers
        return Fleet(
            self._make_fleet_settings(control),
            self.parts.replica,
            FleetListeners(
                targets_changed=dispatchers.apply_targets,
                evidence_changed=dispatchers.apply_evidence,
                entry_adopted=self.page.record_adoption,
            ),
            self.parts.journal,
            self.parts.timeline,
        )

    def _make_fleet_settings(self, control: Address) -> FleetSettings:
        settings = self.parts.settings
        return FleetSettings(
            cluster=settings.cluster,
            key=settings.cluster_key.encode(),
            name=settings.name,
            incarnation=read_wall(),
            locality=settings.locality,
            link=settings.listen.links,
            control=control,
            caller=self.parts.proxy.address,
            seeds=settings.seeds,
            settle=settings.announcements.expiry,
        )

    def _join(self, fleet: Fleet) -> None:
        core = fleet.state.core
        parts = self.parts
        self.page.join(fleet)
        parts.dispatchers.connect(
            core.view, core.evidence_view, parts.proxy.retire
        )
        parts.metrics.watch(NodeGauges(parts, self.page))
        self.ticker = Ticker(parts, fleet, self.watch)
        self._ticking = get_shared_timer().every(self.tick, self.ticker.tick)
        self._tasks = tuple(
            asyncio.create_task(work) for work in self._list_work(fleet)
        )

    def _list_work(
        self,
        fleet: Fleet,
    ) -> tuple[Coroutine[None, None, None], ...]:
        """Return the coroutines that run until the node stops."""
        raise NotImplementedError
