"""The incarnation of its target that a gate serves."""

from hillfield.events import EventCode
from hillfield.gate.hearing import hear_told
from hillfield.gate.limit import RateLimit
from hillfield.gate.notes import GateNotes
from hillfield.gate.seat import Seat
from hillfield.gate.standing import Standing
from hillfield.model import LifeNotice, TargetState
from hillfield.routing.loads import Latency


class GateSeat(GateNotes):
    """Serve incarnations of the target, each with fresh health and limit."""

    @property
    def seat(self) -> Seat | None:
        """Return the served incarnation."""
        return self._state.seat

    def take_seat(self, seat: Seat | None) -> None:
        """Serve an incarnation of the target; None: it has left or leaves."""
        state = self._state
        if seat is not None and seat.target.state is TargetState.DRAINING:
            self.leave_seat()
            return
        before = state.seat
        state.seat = seat
        if seat is None:
            if before is not None:
                state.record(EventCode.GATE_EMPTY, before, 'leaving or gone')
            return
        state.farewell = None
        if before is None or before.target.id != seat.target.id:
            if before is not None:
                self.on_replaced(before.target.id)
            state.standing = Standing()
            state.limit = RateLimit()
            state.latency = Latency()
            state.record(
                EventCode.GATE_SEATED,
                seat,
                f'known as {seat.name}',
            )

    def adopt_told(self, now: float, notice: LifeNotice) -> None:
        """Apply the notice that the sender of a request has received."""
        seat = self._state.seat
        if seat is not None and hear_told(self._state, now, notice):
            self.on_leaving(now, seat.target.id)

    def leave_seat(self) -> None:
        """Send no new work to the target: it has announced that it leaves."""
        seat = self._state.seat
        if seat is not None:
            self._state.farewell = seat
            self.take_seat(None)
