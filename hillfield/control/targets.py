"""Handlers for announcements and the list of targets."""

from typing import Final

from expression import Result

from hillfield.announcements import (
    AnnouncedIncarnation,
    Announcement,
    AnnouncementProblem,
    Refusal,
    read_announcement,
)
from hillfield.control.answers import (
    JsonHandler,
    choose_status,
    describe_problem,
    is_number,
    record_refusal,
)
from hillfield.control.pages import (
    AnnouncedPage,
    ErrorPage,
    TargetPage,
    TargetsPage,
)
from hillfield.events import EventCode
from hillfield.model import Target, parse_address

Problems = tuple[AnnouncementProblem, ...]

INCARNATION: Final = 'incarnation'


class TargetHandler(JsonHandler):
    """The base of the handlers that targets call."""

    def refuse_problems(self, problems: Problems) -> None:
        """Respond with the problems of the request, and record them."""
        peer = self.request.remote_ip or ''
        record_refusal(self.ports.timeline, peer, problems)
        refusal = problems[0].refusal
        page = ErrorPage(
            refusal,
            self.step,
            peer,
            EventCode.ANNOUNCEMENT_REFUSED,
            tuple(map(describe_problem, problems)),
        )
        self.answer(page, choose_status(refusal))

    def answer_result(
        self,
        outcome: Result[Target, AnnouncementProblem],
    ) -> None:
        """Respond with the target as listed, or with the problem."""
        if outcome.is_error():
            self.refuse_problems((outcome.error,))
            return
        target = outcome.ok
        settings = self.node.announcements
        page = AnnouncedPage(
            str(target.id),
            target.id.incarnation,
            target.state,
            settings.heartbeat,
            settings.expiry,
        )
        self.answer(page)

    def refuses_sender(self) -> bool:
        """Refuse a sender of another host; return whether it was one."""
        problem = self.host_addresses.check_sender(self.request.remote_ip or '')
        if problem is not None:
            self.refuse_problems((problem,))
        return problem is not None


class TargetsHandler(TargetHandler):
    """Accept announcements and list targets."""

    def get(self) -> None:
        """List the host's own targets and all that are known.

        `service` in the query selects the targets of one service.
        """
        ports = self.ports
        service = self.get_query_argument('service', '')
        now = ports.read_monotonic()
        own = [
            show_incarnation(now, incarnation)
            for incarnation in ports.registry.incarnations(now)
            if _is_of_service(incarnation.published, service)
        ]
        targets = ports.view.list_targets()
        known = [
            show_target(each)
            for each in targets
            if _is_of_service(each, service)
        ]
        page = TargetsPage(self.node.name, tuple(own), tuple(known))
        self.answer(page)

    def post(self) -> None:
        """Accept an announcement or heartbeat."""
        if self.refuses_sender():
            return
        read = read_announcement(self.request.body)
        if read.is_error():
            self.refuse_problems(read.error)
            return
        problem = self.host_addresses.check_announced(read.ok.address)
        if problem is not None:
            self.refuse_problems((problem,))
            return
        self._announce(read.ok)

    def _announce(self, announcement: Announcement) -> None:
        ports = self.ports
        now, wall = ports.read_monotonic(), ports.read_wall()
        self.answer_result(ports.registry.announce(now, wall, announcement))


class WithdrawalHandler(TargetHandler):
    """Withdraw one target."""

    def delete(self, service: str, address_text: str) -> None:
        """Remove the target at once."""
        if self.refuses_sender():
            return
        address = parse_address(address_text)
        if address.is_error():
            self._refuse_field('address', address_text, address.error)
            return
        text = self.get_query_argument(INCARNATION, '0')
        if not is_number(text):
            self._refuse_field(INCARNATION, text, 'write a whole number')
            return
        ports = self.ports
        now, incarnation = ports.read_monotonic(), int(text) or None
        withdraw = ports.registry.withdraw
        outcome = withdraw(now, service, address.ok, incarnation)
        self.answer_result(outcome)

    def _refuse_field(self, field: str, found: str, fix: str) -> None:
        problem = AnnouncementProblem(
            Refusal.MALFORMED,
            field,
            repr(found),
            fix,
        )
        self.refuse_problems((problem,))


def show_target(
    target: Target,
    load: float | None = None,
    heard: float | None = None,
) -> TargetPage:
    """Return the page of a target."""
    locality = target.locality
    return TargetPage(
        target.id.service,
        str(target.id.address),
        target.id.incarnation,
        target.state,
        locality.region,
        locality.failure_domain,
        locality.host,
        target.slots,
        target.connection_limit,
        target.weight,
        target.load if load is None else load,
        heard,
    )


def show_incarnation(
    now: float, incarnation: AnnouncedIncarnation
) -> TargetPage:
    """Return the page of a target of this host, with its newest load."""
    return show_target(
        incarnation.published,
        incarnation.reported.load,
        now - incarnation.last_heartbeat,
    )


def _is_of_service(target: Target, service: str) -> bool:
    return not service or target.id.service == service
