"""Plans for requests that other nodes forward to the gate."""

from typing import Final

from expression import Error, Ok, Result
from msgspec import Struct

from hillfield.clocks import monotonic
from hillfield.events import EventCode
from hillfield.gate.gate import Gate
from hillfield.gate.hop import HopInstructions, read_hop
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
# Seconds; the fleet learns of a changed target within about this.
RETRY_AFTER_SECONDS: Final = 0.2
# Seconds; the remaining time of each request is far below this.
MAXIMUM_DEADLINE: Final = 3600.0


class GatePlans(Struct, frozen=True):
    """Plan requests for the gate's target; refuse those for another one.

    `checks` detect a wrong answer of the target.
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
        instructions = read.ok
        if instructions.notice is not None:
            self.gate.receive_forwarded_notice(monotonic(), instructions.notice)
        serving = self.gate.serving
        if serving is None or self.gate.closing:
            return Error(_refuse(UNAVAILABLE, 'no target is served here'))
        target_id = serving.target.id
        if (instructions.service, instructions.incarnation) != (
            target_id.service,
            target_id.incarnation,
        ):
            return Error(_refuse(UNAVAILABLE, f'{target_id} is served here'))
        return Ok(self._plan(instructions))

    def _plan(self, instructions: HopInstructions) -> RequestPlan:
        return RequestPlan(
            instructions.service,
            instructions.route,
            instructions.account,
            instructions.idempotent,
            MAXIMUM_DEADLINE,
            maximum_attempts=1,
            checks=self.checks,
            priority=instructions.priority,
            origin=instructions.origin,
            trial=instructions.trial,
            urgency=instructions.urgency,
            aim=instructions.aim,
            spent=instructions.spent,
            repeat=instructions.repeat,
        )


def _refuse(status: int, detail: str) -> RequestFailure:
    return RequestFailure(
        status,
        Outcome.NOT_RUN,
        Step.ROUTE,
        '',
        int(EventCode.TARGET_DECLINED),
        detail,
        RETRY_AFTER_SECONDS,
    )
