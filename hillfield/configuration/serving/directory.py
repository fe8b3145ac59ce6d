"""Find client accounts in the buckets of a replica."""

from collections import OrderedDict
from collections.abc import Callable
from typing import Final

from msgspec import Struct

from hillfield.configuration.entries import Entry
from hillfield.configuration.schema.accounts import ClientAccount
from hillfield.configuration.serving.replica import Replica
from hillfield.configuration.storage.payloads import decode_account

DEFAULT_LIMIT: Final = 2048


class _Decoded(Struct, frozen=True):
    entry: Entry
    account: ClientAccount


class AccountDirectory:
    """Decode accounts when they are asked for and keep the latest few.

    All accounts stay compressed in their buckets; `limit` bounds how many
    are kept decoded.
    """

    def __init__(
        self,
        replica: Replica,
        notice: Callable[[ClientAccount], None],
        limit: int = DEFAULT_LIMIT,
    ) -> None:
        """Start empty; `notice` is called with each account when decoded."""
        self._replica = replica
        self._notice = notice
        self._limit = limit
        self._decoded: OrderedDict[str, _Decoded] = OrderedDict()

    def __len__(self) -> int:
        """Count the decoded accounts."""
        return len(self._decoded)

    def find(self, name: str) -> ClientAccount | None:
        """Return the account as the newest entry has it."""
        decoded = self._decoded.get(name)
        if decoded is None:
            return self._decode(name)
        # An entry is replaced, never changed, so identity tells its age.
        if self._replica.entry(decoded.entry.key) is not decoded.entry:
            self._decoded.pop(name)
            return self._decode(name)
        self._decoded.move_to_end(name)
        return decoded.account

    def holds_bucket_of(self, name: str) -> bool:
        """Say whether the bucket that would hold the account is here."""
        key = self._replica.keys.account(name)
        return self._replica.entry(key) is not None

    def _decode(self, name: str) -> ClientAccount | None:
        entry = self._replica.entry(self._replica.keys.account(name))
        if entry is None:
            return None
        account = decode_account(entry.payload, name)
        if account is None:
            return None
        self._decoded[name] = _Decoded(entry, account)
        if len(self._decoded) > self._limit:
            self._decoded.popitem(last=False)
        self._notice(account)
        return account
