"""Answer calls about leases at the store stand-in."""

from hillfield.emulator.store_core import INVALID, NOT_FOUND
from hillfield.emulator.store_handlers import GatewayHandler
from hillfield.emulator.store_values import Refusal
from hillfield.store.counters import CallKind
from hillfield.store.wire import Header
from hillfield.store.wire_leases import (
    GrantRequest,
    KeepAliveLine,
    LeaseRequest,
    LeaseResponse,
)


class GrantHandler(GatewayHandler):
    """Open leases."""

    kind = CallKind.GRANT

    def post(self) -> None:
        """Grant a lease of a number that the store chooses."""
        message = self.read_body(GrantRequest)
        if message.seconds <= 0 or message.lease:
            self.refuse(Refusal(INVALID, 'TTL must be positive and ID 0'))
        lease = self.state.grant(message.seconds)
        self.reply(
            LeaseResponse(
                header=Header(revision=self.state.core.revision),
                lease=lease.number,
                seconds=lease.seconds,
            ),
        )


class RenewHandler(GatewayHandler):
    """Keep leases alive."""

    kind = CallKind.RENEW

    def post(self) -> None:
        """Renew a lease; a lapsed one has no time to live."""
        message = self.read_body(LeaseRequest)
        reply = LeaseResponse(
            header=Header(revision=self.state.core.revision),
            lease=message.lease,
            seconds=self.state.renew(message.lease),
        )
        self.reply(KeepAliveLine(outcome=reply))


class RevokeHandler(GatewayHandler):
    """End leases."""

    kind = CallKind.REVOKE

    def post(self) -> None:
        """Revoke a lease and delete its keys."""
        message = self.read_body(LeaseRequest)
        if not self.state.revoke(message.lease):
            self.refuse(Refusal(NOT_FOUND, 'requested lease not found'))
        revision = self.state.core.revision
        self.reply(LeaseResponse(header=Header(revision=revision)))
