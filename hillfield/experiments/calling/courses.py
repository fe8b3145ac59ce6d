"""The course of a request: at its origin, on its way and at a gate."""

from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING

from msgspec.structs import replace

from hillfield.events import EventCode
from hillfield.experiments.calling.deployment import Kind
from hillfield.experiments.calling.targets import ERROR, OK, RESET, Run
from hillfield.loadreports import LoadReport
from hillfield.model import Outcome, RequestPlan
from hillfield.proxy.running import HEDGE_RETRY_SECONDS
from hillfield.routing.declining import Declined
from hillfield.routing.requests import (
    Answered,
    Arrival,
    Broken,
    CallerGone,
    Decision,
    Observation,
    Refuse,
    Send,
    TimedOut,
)

if TYPE_CHECKING:
    from hillfield.experiments.calling.hosts import Host


class Course:
    """Follow a request at the node where it began."""

    def __init__(
        self,
        host: 'Host',
        kind: Kind,
        name: str,
        deadline: float,
        end: Callable[[str], None],
        is_called_by_repeat: bool = False,
    ) -> None:
        """Prepare; `end` is told `ok`, `refused` or `failed`."""
        self.name = name
        self.is_called_by_repeat = is_called_by_repeat
        self.kind = kind
        self.closed = False
        self.hops: dict[int, Hop] = {}
        self.host = host
        self.expires = host.clock.now + min(deadline, kind.deadline)
        self._end = end
        self._dispatcher = host.find_dispatcher(kind.service)
        self._launched = 0

    def start(self) -> None:
        """Ask for admission."""
        now = self.host.clock.now
        self.host.courses[self.name] = self
        self.host.network.note_asked(self.kind.service)
        self.host.clock.call_at(self.expires, self._expire)
        arrival = Arrival(self.name, self.kind.plan, self.expires, True)
        self.take(self._dispatcher.admit(now, arrival))

    def take(self, verdict: Decision) -> None:
        """Do what has been decided."""
        match verdict:
            case Send() if self.closed:
                now = self.host.clock.now
                self._dispatcher.finish(now, verdict.attempt, CallerGone())
            case Send():
                self._launch(verdict)
            case Refuse():
                told = verdict.failure.outcome
                refused = told is Outcome.NOT_RUN
                self._close('refused' if refused else 'failed')

    def note_end(self, hop: 'Hop', observation: Observation) -> None:
        """Act on the end of an attempt."""
        if hop.over:
            return
        hop.over = True
        if hop.room is not None:
            self._dispatcher.adopt_report(self.host.clock.now, hop.room)
        self.hops.pop(hop.send.attempt, None)
        now = self.host.clock.now
        verdict = self._dispatcher.finish(now, hop.send.attempt, observation)
        if isinstance(observation, Answered) and not isinstance(verdict, Send):
            good = observation.status == OK
            if good or not self.hops:
                self._close('ok' if good else 'failed')
        else:
            self.take(verdict)
        self.host.poll(self._dispatcher)

    def _launch(self, send: Send) -> None:
        hop = Hop(self, send)
        self.hops[send.attempt] = hop
        self._dispatcher.record_written(self.host.clock.now, send.attempt)
        hop.depart()
        self._launched += 1
        delay = self._dispatcher.compute_hedge_delay(self.kind.plan)
        if delay is not None:
            hedge = partial(self._hedge, self._launched)
            self.host.clock.call_later(delay, hedge)

    def _hedge(self, launched: int) -> None:
        if self.closed or launched != self._launched or not self.hops:
            return
        send = self._dispatcher.hedge(self.host.clock.now, self.name)
        if send is not None:
            self._launch(send)
            return
        again = partial(self._hedge, launched)
        self.host.clock.call_later(HEDGE_RETRY_SECONDS, again)

    def _expire(self) -> None:
        if self.closed:
            return
        now = self.host.clock.now
        if not self.hops:
            self._dispatcher.cancel(now, self.name)
        for hop in tuple(self.hops.values()):
            hop.over = True
            self._dispatcher.finish(now, hop.send.attempt, TimedOut())
        self._close('failed')

    def _close(self, how: str) -> None:
        if self.closed:
            return
        self.closed = True
        self.host.courses.pop(self.name, None)
        now = self.host.clock.now
        for hop in tuple(self.hops.values()):
            if not hop.over:
                hop.over = True
                self._dispatcher.finish(now, hop.send.attempt, CallerGone())
            hop.cancel()
        self.hops.clear()
        if how != 'ok':
            self.host.gate.failed_calls.record(now, self.kind.service)
        self._end(how)


class Hop:
    """Follow one attempt on its way to a gate, there and back.

    `room` is what the gate's answer tells of the room at its target.
    """

    def __init__(self, course: Course, send: Send) -> None:
        """Prepare."""
        self.send = send
        self.over = False
        self.room: LoadReport | None = None
        self._course = course
        self._clock = course.host.clock
        self._key = f'{course.name}/{send.attempt}'
        self._gone = False
        self._work: Send | None = None
        self._run: Run | None = None
        self._host = course.host.network.find_host(send.address)
        self._delay = course.host.network.find_delay(course.host, self._host)

    def depart(self) -> None:
        """Go to the gate."""
        self._note_bytes(self._course.kind.request_size)
        self._clock.call_later(self._delay, self._reach)

    def cancel(self) -> None:
        """Leave: the gate sees the connection close."""
        self._clock.call_later(self._delay, self._leave)

    def obey(self, verdict: Decision) -> None:
        """Do what the gate has decided."""
        if isinstance(verdict, Refuse):
            event = verdict.failure.event
            declined = Declined(
                verdict.failure.detail,
                verdict.failure.retry_after,
                event == int(EventCode.TARGET_HELD_BACK),
                event == int(EventCode.REPEAT_DECLINED),
            )
            self._gone = True
            self._course.host.network.declined += 1
            self._answer(declined, 0)
        elif isinstance(verdict, Send):
            self._work = verdict
            is_repeat = self._host.count_arrival(self._course)
            self._run = self._host.target.start(
                self._course.kind,
                self._course.expires,
                self._finish,
                self._key,
                is_repeat,
            )
            time_out = partial(self._cut, TimedOut())
            self._clock.call_at(self._course.expires, time_out)

    def _reach(self) -> None:
        if self._gone:
            return
        self._host.hops[self._key] = self
        now = self._clock.now
        if self.send.notice is not None:
            self._host.gate.receive_forwarded_notice(now, self.send.notice)
        arrival = Arrival(self._key, self._plan(), self._course.expires, True)
        self.obey(self._host.gate.admit(now, arrival))
        if self._host.gate.next_due() is not None:
            self._host.poll_gate()

    def _plan(self) -> RequestPlan:
        return replace(
            self._course.kind.plan,
            maximum_attempts=1,
            trial=self.send.trial,
            urgency=self.send.urgency,
            spent=self.send.spent,
            origin=self._course.host.service,
            repeat=self.send.repeat,
        )

    def _finish(self, status: int) -> None:
        if status == RESET:
            self._end_work(Broken('reset'))
            self._answer(Broken('unknown'), 0)
            return
        wrong = 'status' if status == ERROR else ''
        idempotent = self._course.kind.idempotent
        answered = Answered(status, wrong if idempotent else '')
        self._end_work(Answered(status))
        self._answer(answered, self._course.kind.answer_size)

    def _leave(self) -> None:
        if self._gone:
            return
        if self._work is not None:
            self._cut(CallerGone())
            return
        self._gone = True
        self._host.gate.cancel(self._clock.now, self._key)

    def _cut(self, observation: Observation) -> None:
        if self._run is not None and not self._gone:
            self._run.cut = True
        self._end_work(observation)

    def _end_work(self, observation: Observation) -> None:
        work = self._work
        if work is None or self._gone:
            return
        self._gone = True
        self._host.hops.pop(self._key, None)
        now = self._clock.now
        if isinstance(observation, Answered):
            said = self._host.target.find_notice()
            self._host.gate.record_notice(now, work.attempt, said)
        self._host.gate.finish(now, work.attempt, observation)
        self._host.poll_gate()

    def _answer(self, observation: Observation, size: int) -> None:
        self._note_bytes(size)
        self.room = self._host.gate.report_on_answer(self._clock.now)
        end = partial(self._course.note_end, self, observation)
        self._clock.call_later(self._delay, end)

    def _note_bytes(self, size: int) -> None:
        network = self._course.host.network
        network.note_bytes(self._course.host, self._host, size)
