"""Plans for requests that other nodes hand to the gate."""

from typing import Final

from expression import Error, Ok, Result
from msgspec import Struct

from hillfield.clocks import monotonic
from hillfield.events import EventCode
from hillfield.gate.gate import Gate
from hillfield.gate.hop import HopOrder, read_hop
from hillfield.model import (
    AnswerChecks,
    Outcome,
    RequestFailure,
    RequestPlan,
    Step,
)
from hillfield.proxy.ports import RequestHead

UNAVAILABLE: Final = 503
MALFORMED: Final = 400
# Seconds; the fleet hears of a target's change within about this.
COME_BACK: Final = 0.2
# Seconds; the time left of each request bounds it far below this.
LONGEST: Final = 3600.0


class GatePlans(Struct, frozen=True):
    """Resolve requests for the gate's target; refuse those for another.

    `checks` tell a wrong answer of the target.
    """

    gate: Gate
    checks: AnswerChecks

    def resolve(
        self,
        head: RequestHead,
    ) -> Result[RequestPlan, RequestFailure]:
        """Return the plan, or the failure to answer with (not run)."""
        read = read_hop(head.hop)
        if read.is_error():
            return Error(_refuse(MALFORMED, f'Hillfield-Hop: {read.error}'))
        order = read.ok
        if order.told is not None:
            self.gate.adopt_told(monotonic(), order.told)
        seat = self.gate.seat
        if seat is None or self.gate.closing:
            return Error(_refuse(UNAVAILABLE, 'no target is served here'))
        here = seat.target.id
        if (order.service, order.incarnation) != (
            here.service,
            here.incarnation,
        ):
            return Error(_refuse(UNAVAILABLE, f'{here} is served here'))
        return Ok(self._plan(order))

    def _plan(self, order: HopOrder) -> RequestPlan:
        return RequestPlan(
            order.service,
            order.route,
            order.account,
            order.idempotent,
            LONGEST,
            maximum_attempts=1,
            checks=self.checks,
            priority=order.priority,
            origin=order.origin,
            trial=order.trial,
            urgency=order.urgency,
            aim=order.aim,
            spent=order.spent,
        )


def _refuse(status: int, detail: str) -> RequestFailure:
    return RequestFailure(
        status,
        Outcome.NOT_RUN,
        Step.ROUTE,
        '',
        int(EventCode.TARGET_DECLINED),
        detail,
        COME_BACK,
    )
