"""Messages of the gateway's leases."""

from msgspec import field

from hillfield.store.wire import Header, Message, Status


class GrantRequest(Message, frozen=True):
    """Open a lease; times to live are whole seconds."""

    seconds: int = field(name='TTL', default=0)
    lease: int = field(name='ID', default=0)


class LeaseRequest(Message, frozen=True):
    """Name a lease to keep alive or to revoke."""

    lease: int = field(name='ID', default=0)


class LeaseResponse(Message, frozen=True):
    """Answer a grant, a renewal (0 seconds: lapsed) or a revocation."""

    header: Header = Header()
    lease: int = field(name='ID', default=0)
    seconds: int = field(name='TTL', default=0)


class KeepAliveLine(Message, frozen=True):
    """Hold one line of the stream of renewals."""

    outcome: LeaseResponse | None = field(name='result', default=None)
    error: Status | None = None
