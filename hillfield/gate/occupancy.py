"""Which life of its target a gate serves."""

from hillfield.events import EventCode
from hillfield.gate.hearing import hear_told
from hillfield.gate.limit import RateLimit
from hillfield.gate.notes import GateNotes
from hillfield.gate.seat import Seat
from hillfield.gate.standing import Standing
from hillfield.model import LifeNotice, TargetState
from hillfield.routing.loads import Latency


class GateSeat(GateNotes):
    """Take lives of the target; nothing that was learnt of one outlasts it."""

    @property
    def seat(self) -> Seat | None:
        """Return the life of the target that is served."""
        return self._state.seat

    def take_seat(self, seat: Seat | None) -> None:
        """Take the present life of the target; None: it is gone or leaves."""
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

    def adopt_told(self, now: float, told: LifeNotice) -> None:
        """Take what the sender of a request was told of the target."""
        seat = self._state.seat
        if seat is not None and hear_told(self._state, now, told):
            self.on_leaving(now, seat.target.id)

    def leave_seat(self) -> None:
        """Give the target no new work: it has said that it leaves."""
        seat = self._state.seat
        if seat is not None:
            self._state.farewell = seat
            self.take_seat(None)
