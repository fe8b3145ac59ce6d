"""Publish this host's targets and this node's evidence when they change."""

from math import inf
from typing import Final

from msgspec.structs import replace

from hillfield.detection.evidence import Evidence
from hillfield.fleet.core import Core
from hillfield.fleet.records import UpdateKind
from hillfield.fleet.state_updates import publish
from hillfield.model import Target

# Pieces of evidence that one node publishes.
EVIDENCE_LIMIT: Final = 32
# Seconds between two publications of evidence.
EVIDENCE_INTERVAL: Final = 1.0


class Publisher:
    """Hold targets and evidence until they may be published."""

    def __init__(self, core: Core) -> None:
        """Publish to a core's state table and links."""
        self._core = core
        self._targets: tuple[Target, ...] | None = None
        self._evidence: tuple[Evidence, ...] = ()
        self._published: tuple[Evidence, ...] = ()
        self._published_at = -inf

    def update_targets(self, now: float, targets: tuple[Target, ...]) -> None:
        """Publish these targets, once the node has run for `settle` seconds."""
        self._targets = tuple(
            replace(target, load=None)
            for target in sorted(targets, key=lambda target: target.id)
        )
        self.publish_due(now)

    def update_evidence(
        self, now: float, evidence: tuple[Evidence, ...]
    ) -> None:
        """Publish this evidence; of many pieces those with most failures."""
        worst = sorted(evidence, key=lambda piece: -piece.failures)
        self._evidence = tuple(worst[:EVIDENCE_LIMIT])
        self.publish_due(now)

    def publish_due(self, now: float) -> None:
        """Publish what is due."""
        settings = self._core.settings
        if now - self._core.times.started >= settings.settle:
            self._publish_targets(now)
        if now - self._published_at >= EVIDENCE_INTERVAL:
            aging = now - self._published_at >= settings.evidence_life / 2
            if self._evidence != self._published or (self._evidence and aging):
                self._publish_evidence(now)

    def _publish_targets(self, now: float) -> None:
        if self._targets is None:
            return
        core = self._core
        held = core.state_table.get(UpdateKind.TARGETS, core.own.record.name)
        payload = core.codec.encode_targets(
            core.settings.locality,
            self._targets,
        )
        self._targets = None
        ours = held is not None and held.incarnation == core.own.incarnation
        if held is None or not ours or held.payload != payload:
            publish(core, now, UpdateKind.TARGETS, payload)

    def _publish_evidence(self, now: float) -> None:
        self._published = self._evidence
        self._published_at = now
        publish(
            self._core,
            now,
            UpdateKind.EVIDENCE,
            self._core.codec.encode_evidence(self._published),
        )
