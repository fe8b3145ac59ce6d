"""Publish this host's targets and this node's evidence when they change."""

from math import inf
from typing import Final

from msgspec.structs import replace

from hillfield.detection.evidence import Evidence
from hillfield.fleet.core import Core
from hillfield.fleet.records import Kind
from hillfield.fleet.state_updates import publish
from hillfield.model import Target

EVIDENCE_LIMIT: Final = 32
EVIDENCE_INTERVAL: Final = 1.0


class Publisher:
    """Hold what is to be published until it may be."""

    def __init__(self, core: Core) -> None:
        """Publish by a core's book and links."""
        self._core = core
        self._targets: tuple[Target, ...] | None = None
        self._evidence: tuple[Evidence, ...] = ()
        self._said: tuple[Evidence, ...] = ()
        self._said_at = -inf

    def update_targets(self, now: float, targets: tuple[Target, ...]) -> None:
        """Publish these targets, at once or when the start has settled."""
        self._targets = tuple(
            replace(target, load=None)
            for target in sorted(targets, key=lambda target: target.id)
        )
        self.publish_due(now)

    def update_evidence(
        self, now: float, evidence: tuple[Evidence, ...]
    ) -> None:
        """Publish this evidence, the most telling pieces if it is long."""
        worst = sorted(evidence, key=lambda piece: -piece.failures)
        self._evidence = tuple(worst[:EVIDENCE_LIMIT])
        self.publish_due(now)

    def publish_due(self, now: float) -> None:
        """Publish what is due."""
        settings = self._core.settings
        if now - self._core.times.started >= settings.settle:
            self._publish_targets(now)
        if now - self._said_at >= EVIDENCE_INTERVAL:
            fading = now - self._said_at >= settings.evidence_life / 2
            if self._evidence != self._said or (self._evidence and fading):
                self._publish_evidence(now)

    def _publish_targets(self, now: float) -> None:
        if self._targets is None:
            return
        core = self._core
        held = core.book.get(Kind.TARGETS, core.own.record.name)
        payload = core.codec.encode_targets(
            core.settings.locality,
            self._targets,
        )
        self._targets = None
        ours = held is not None and held.incarnation == core.own.incarnation
        if held is None or not ours or held.payload != payload:
            publish(core, now, Kind.TARGETS, payload)

    def _publish_evidence(self, now: float) -> None:
        self._said = self._evidence
        self._said_at = now
        publish(
            self._core,
            now,
            Kind.EVIDENCE,
            self._core.codec.encode_evidence(self._said),
        )
