"""Client accounts: who may call, and the parameters filled in."""

from msgspec import Struct


class ServiceUse(Struct, frozen=True):
    """Allow a service to an account and fill in its parameters (seconds)."""

    service: str
    deadline: float | None = None
    attempts: int | None = None
    hedge_after: float | None = None


class Account(Struct, frozen=True):
    """Hold who an account is and by what its callers are known.

    `secret_hashes` are SHA-256 in hexadecimal; two of them let callers move
    from an old secret to a new one. The secret itself is never kept.
    """

    name: str
    secret_hashes: tuple[str, ...]


class FleetAccount(Account, frozen=True):
    """Hold an account whose callers show one key and need not name it.

    `priority` ranks its requests that wait, before the rank of their route (0
    goes first). `rate` requests a second and a `burst` on top are what all
    nodes together let through (a rate of 0: no limit).
    """

    priority: int = 0
    rate: float = 0
    burst: float = 0


class ClientAccount(Account, frozen=True):
    """Hold one client account of the product's own configuration."""

    use: tuple[ServiceUse, ...]

    def find_use(self, service: str) -> ServiceUse | None:
        """Return what the account filled in for a service, if allowed."""
        for use in self.use:
            if use.service == service:
                return use
        return None
