"""The periodic work of a node."""

from typing import Final

from msgspec.structs import replace

from hillfield.clocks import monotonic
from hillfield.fleet import Fleet
from hillfield.model import TargetState
from hillfield.node.counting import TotalsExporter
from hillfield.node.lateness import LoopWatch
from hillfield.node.parts import Parts
from hillfield.node.sharing import EvidenceFilter

TICK_SECONDS: Final = 0.1
TICKS_PER_EVIDENCE: Final = 2


class Ticker:
    """Run the timers of the parts and pass state between them."""

    def __init__(self, parts: Parts, fleet: Fleet, watch: LoopWatch) -> None:
        """Prepare; the node calls `tick` each `TICK_SECONDS` seconds.

        While `leaving`, the host's targets are published as draining.
        """
        self._parts = parts
        self._fleet = fleet
        self._watch = watch
        self._totals = TotalsExporter(parts, fleet)
        self._evidence_gate = EvidenceFilter(
            parts.settings.name,
            parts.settings.locality.failure_domain,
        )
        self.leaving = False
        self._published = -1
        self._ticks = 0

    def tick(self) -> None:
        """Do the work that is due."""
        now = monotonic()
        self._watch.check(now)
        self._ticks += 1
        core = self._fleet.state.core
        if core.own.ready:
            self._parts.replica.mark_complete()
        self._publish_targets(now)
        self._decide(now)
        if self._ticks % TICKS_PER_EVIDENCE == 0:
            self._share_evidence(now)

    def withdraw_targets(self) -> None:
        """Publish the targets of this host as draining."""
        self.leaving = True
        self._published = -1
        self._publish_targets(monotonic())

    def _publish_targets(self, now: float) -> None:
        registry = self._parts.registry
        targets = registry.targets(now)
        if registry.version == self._published:
            return
        self._published = registry.version
        if self.leaving:
            targets = tuple(
                replace(target, state=TargetState.DRAINING)
                for target in targets
            )
        self._fleet.publish_targets(targets)

    def _decide(self, now: float) -> None:
        parts = self._parts
        parts.dispatchers.apply_configuration()
        for occurrence in parts.table.tick(now):
            parts.journal.record(occurrence)
        parts.proxy.deliver(parts.table.poll(now))

    def _share_evidence(self, now: float) -> None:
        table = self._parts.table
        core = self._fleet.state.core
        own = table.evidence(now)
        others = core.evidence_view.evidence() if own else ()
        self._fleet.publish_evidence(self._evidence_gate.select(own, others))
        table.adopt_nodes(now, len(core.state_table.alive))
        self._totals.export()
