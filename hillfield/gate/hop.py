"""The headers between a node and the gate of the target that it asks."""

from functools import partial
from http import HTTPStatus
from typing import Final

from expression import Error, Ok, Result
from msgspec import MsgspecError, Struct
from msgspec.json import Decoder
from msgspec.structs import replace
from tornado.httputil import HTTPHeaders

from hillfield.clocks import monotonic
from hillfield.events import EventCode
from hillfield.gate.gate import Gate
from hillfield.loadreports import (
    CAPACITY_HEADER,
    LoadReport,
    read_capacity,
    write_capacity,
)
from hillfield.model import (
    IncarnationNotice,
    Outcome,
    RepeatKind,
    RequestPlan,
    Step,
    TargetId,
    Urgency,
    encode_row,
)
from hillfield.proxy import ProxySettings
from hillfield.proxy.dialects import (
    DEADLINE,
    NOT_RUN,
    OUTCOME,
    format_milliseconds,
    names_request,
    read_retry_after,
)
from hillfield.proxy.fields import Fields
from hillfield.proxy.heads import HOP
from hillfield.routing.declining import Declined
from hillfield.routing.requests import (
    Broken,
    Observation,
    Send,
    Shed,
    TimedOut,
)

# Header fields are bytes, which HTTP libraries represent in this encoding.
HEADER_ENCODING: Final = 'latin-1'
STEP: Final = 'Hillfield-Step'
EVENT: Final = 'Hillfield-Event'
HELD_BACK_EVENT: Final = str(int(EventCode.TARGET_HELD_BACK))
# Bytes by which a hop's own headers lengthen a caller's head at most: a few
# numbers, and names of the service, the route and the account.
HOP_HEAD_ROOM: Final = 4096
REPEAT_DECLINED_EVENT: Final = str(int(EventCode.REPEAT_DECLINED))
# Steps of a gate before the first byte goes to its target.
BEFORE_SENDING: Final = frozenset(
    (Step.READ_REQUEST, Step.ROUTE, Step.ADMIT, Step.CONNECT),
)


class HopInstructions(Struct, frozen=True, array_like=True):
    """Hold which incarnation a request is for, and how it is treated.

    `incarnation` is that of the target, `origin` the service on whose host the
    request began, `priority` its priority (0 goes first). `idempotent`: it may
    run again; `trial`: it has a retry left, so it may try an unhealthy target;
    `urgency`: which targets it accepts. `route` and `aim`, the seconds in
    which an answer is worth most, tell how long it should take; `spent` is the
    seconds since it was first sent, `account` its client account (empty:
    none), `notice` what the sender has received from the target at this
    address (None: nothing), `repeat` why this is not the request's first
    arrival at a target (None: it is).
    """

    service: str
    incarnation: int
    priority: int
    origin: str
    idempotent: bool = False
    trial: bool = False
    urgency: Urgency = Urgency.HEALTHY_ONLY
    route: str = ''
    aim: float = 0
    spent: float = 0
    account: str = ''
    notice: IncarnationNotice | None = None
    repeat: RepeatKind | None = None


_DECODER: Final = Decoder(HopInstructions)


def write_hop(order: HopInstructions) -> str:
    """Return the header's value.

    >>> write_hop(HopInstructions('claims', 7, 1, 'desk', True))
    '["claims",7,1,"desk",true,false,0,"",0,0,""]'
    >>> read_hop(write_hop(HopInstructions('leit', 7, 1, 'skrá'))).ok.origin
    'skrá'
    """
    return encode_row(order).decode(HEADER_ENCODING)


def read_hop(text: str) -> Result[HopInstructions, str]:
    """Parse the header's value; the error says what is wrong.

    >>> read_hop('["claims",7,1,"desk"]').ok.incarnation
    7
    >>> read_hop('').is_error()
    True
    """
    try:
        return Ok(_DECODER.decode(text.encode(HEADER_ENCODING)))
    except (MsgspecError, UnicodeError) as error:
        return Error(str(error))


class HopDialect:
    """Exchange requests and failures with the gates of targets."""

    def add_fields(
        self,
        fields: Fields,
        plan: RequestPlan,
        send: Send,
        remaining: float,
    ) -> None:
        """Add the remaining time and the instructions for the gate."""
        fields.add(DEADLINE, format_milliseconds(remaining))
        order = HopInstructions(
            send.target.service,
            send.target.incarnation,
            plan.priority,
            plan.origin,
            plan.idempotent,
            send.trial,
            send.urgency,
            plan.route,
            plan.aim,
            send.spent,
            plan.account,
            send.notice,
            send.repeat,
        )
        fields.add(HOP, write_hop(order))

    def read_failure(
        self,
        status: int,
        headers: HTTPHeaders,
    ) -> Observation | None:
        """Return the gate's own failure; None: its target has answered."""
        outcome = headers.get(OUTCOME)
        step = headers.get(STEP, '')
        if outcome is None:
            return None
        if outcome != NOT_RUN:
            if status == HTTPStatus.GATEWAY_TIMEOUT:
                return TimedOut()
            return Broken(f'{Outcome.UNKNOWN} at step {step} of the gate')
        if step in BEFORE_SENDING:
            return Declined(
                f'at step {step}',
                read_retry_after(headers),
                lasting=_is_lasting(step, headers),
                only_repeats=headers.get(EVENT) == REPEAT_DECLINED_EVENT,
            )
        return Shed(read_retry_after(headers))

    def read_capacity(
        self,
        target: TargetId,
        headers: HTTPHeaders,
    ) -> LoadReport | None:
        """Read the free capacity of the target that its gate reports."""
        field_text = headers.get(CAPACITY_HEADER)
        return None if field_text is None else read_capacity(target, field_text)

    def read_notice(
        self,
        status: int,
        headers: HTTPHeaders,
    ) -> None:
        """Return None: the gate reports the target's notices."""

    def is_answer_to(self, request: str, headers: HTTPHeaders) -> bool:
        """Return whether an answer belongs to the request of this id."""
        return names_request(request, headers)

    def inspect_headers(self, headers: HTTPHeaders) -> None:
        """Ignore the headers: the gate has read them."""

    @property
    def sends_keepalives(self) -> bool:
        """Return True: gates send interim answers of their own."""
        return True


def _is_lasting(step: str, headers: HTTPHeaders) -> bool:
    """Return whether the gate will decline the next request as well.

    It does if it withholds work from its target, or serves another
    incarnation.
    """
    return step == Step.ROUTE or headers.get(EVENT) == HELD_BACK_EVENT


def make_gate_settings(settings: ProxySettings, gate: Gate) -> ProxySettings:
    """Return settings of a gate's server: it reports the gate's capacity.

    It takes heads that are longer than those of callers by a hop's headers.
    """
    callers = replace(
        settings.callers, report_capacity=partial(_write_header, gate)
    )
    return replace(
        settings,
        callers=callers,
        head_limit=settings.head_limit + HOP_HEAD_ROOM,
    )


def _write_header(gate: Gate) -> str:
    """Return the header's value; empty: no target to send to."""
    if gate.closing:
        return ''
    report = gate.report_on_answer(monotonic())
    return '' if report is None else write_capacity(report)
