"""The incarnation of its target that a gate serves."""

from hillfield.events import EventCode
from hillfield.gate.attempts import AttemptRecorder
from hillfield.gate.health import HealthScore
from hillfield.gate.limit import RateLimit
from hillfield.gate.notices import apply_forwarded_notice
from hillfield.gate.served import ServedIncarnation
from hillfield.model import IncarnationNotice, TargetState
from hillfield.routing.loads import Latency


class IncarnationServing(AttemptRecorder):
    """Serve incarnations of the target, each with fresh health and limit."""

    @property
    def serving(self) -> ServedIncarnation | None:
        """Return the served incarnation."""
        return self._state.serving

    def serve(self, serving: ServedIncarnation | None) -> None:
        """Serve an incarnation of the target; None: it has left or leaves."""
        state = self._state
        if serving is not None and serving.target.state is TargetState.DRAINING:
            self.stop_serving()
            return
        before = state.serving
        state.serving = serving
        if serving is None:
            if before is not None:
                state.record_event(
                    EventCode.GATE_EMPTY,
                    before,
                    'leaving or gone',
                )
            return
        state.departing = None
        if before is None or before.target.id != serving.target.id:
            if before is not None:
                self.on_replaced(before.target.id)
            state.health = HealthScore()
            state.limit = RateLimit()
            state.latency = Latency()
            state.record_event(
                EventCode.GATE_SEATED,
                serving,
                f'known as {serving.name}',
            )

    def receive_forwarded_notice(
        self, now: float, notice: IncarnationNotice
    ) -> None:
        """Apply the notice that the sender of a request has received."""
        serving = self._state.serving
        if serving is not None and apply_forwarded_notice(
            self._state,
            now,
            notice,
        ):
            self.on_leaving(now, serving.target.id)

    def stop_serving(self) -> None:
        """Send no new work to the target: it has announced that it leaves."""
        serving = self._state.serving
        if serving is not None:
            self._state.departing = serving
            self.serve(None)
