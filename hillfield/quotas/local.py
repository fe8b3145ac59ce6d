"""Requests of each account that a node lets through, and its reports; pure."""

from dataclasses import dataclass
from math import inf
from random import Random
from typing import Final

from hillfield.configuration.schema.accounts import FleetAccount
from hillfield.quotas.messages import ShareRow, UsageRow

# Seconds between two reports of one account by one node. In a model of 93
# nodes, 0.3 s enforces a limit no better (0.92 against 0.93 of the permitted
# requests in the worst window) and costs a fifteenth more messages.
REPORT_INTERVAL: Final = 0.5
# Multiple of the usual number of requests between two reports after which a
# node reports sooner: 0.2 s instead of 0.5 s after a surge begins.
SURGE_FACTOR: Final = 1.5
MINIMUM_USUAL: Final = 1.0
# Seconds for which a share applies without a new message: one is sent every
# 0.5 s, so three may be lost before all requests of the account pass.
SHARE_EXPIRY_SECONDS: Final = 2.0
# Seconds without a request after which an account's counts are dropped.
COUNT_EXPIRY_SECONDS: Final = 30.0
# The share with which all requests pass; also the credit that one request
# costs.
FULL_SHARE: Final = 1.0


@dataclass(slots=True)
class _Usage:
    """Hold one account's counts at this node; moments are seconds.

    `credit` is the part of a request that is saved up while a share applies.
    """

    credit: float
    asked: int = 0
    passed: int = 0
    reported_asked: int = 0
    reported_passed: int = 0
    reported: float = -inf
    usual: float = 0
    used_at: float = 0
    share: float = FULL_SHARE
    share_until: float = -inf
    wait: float = 0

    def is_due(self, now: float) -> bool:
        """Return whether a report is due: periodically, or after a surge."""
        if now - self.reported >= REPORT_INTERVAL:
            return True
        return self.asked - self.reported_asked > SURGE_FACTOR * self.usual


class LocalUsage:
    """Admit requests of accounts, and count them."""

    def __init__(self, random: Random) -> None:
        """Start without counts; `random` decorrelates the nodes."""
        self._random = random
        self._usage: dict[str, _Usage] = {}
        self._pending: set[str] = set()
        self._swept_at: float = 0

    def __len__(self) -> int:
        """Return the number of accounts with counts."""
        return len(self._usage)

    def admit(self, now: float, account: FleetAccount) -> float:
        """Return 0 and count the request, or the seconds to wait."""
        if account.rate <= 0:
            return 0
        usage = self._find(account.name)
        usage.asked += 1
        usage.used_at = now
        self._pending.add(account.name)
        if now < usage.share_until and not _consume_share(usage):
            return usage.wait
        usage.passed += 1
        return 0

    def list_due(self, now: float) -> tuple[UsageRow, ...]:
        """Return the reports that are due; they count as sent."""
        self._sweep(now)
        due = [name for name in self._pending if self._usage[name].is_due(now)]
        self._pending.difference_update(due)
        return tuple(self._report(now, name) for name in due)

    def apply_shares(self, now: float, rows: tuple[ShareRow, ...]) -> None:
        """Apply the shares that a counter has answered with."""
        for row in rows:
            usage = self._find(row.account)
            usage.used_at = now
            usage.share = row.share
            usage.wait = row.wait
            usage.share_until = now + SHARE_EXPIRY_SECONDS

    def _find(self, name: str) -> _Usage:
        usage = self._usage.get(name)
        if usage is None:
            usage = _Usage(self._random.random())
            self._usage[name] = usage
        return usage

    def _report(self, now: float, name: str) -> UsageRow:
        usage = self._usage[name]
        fresh = usage.asked - usage.reported_asked
        passed = usage.passed - usage.reported_passed
        row = UsageRow(name, usage.asked, usage.passed, fresh, passed)
        seconds = max(REPORT_INTERVAL, now - usage.reported)
        usage.usual += (fresh * REPORT_INTERVAL / seconds - usage.usual) / 2
        usage.usual = max(usage.usual, MINIMUM_USUAL)
        usage.reported = now
        usage.reported_asked = usage.asked
        usage.reported_passed = usage.passed
        return row

    def _sweep(self, now: float) -> None:
        if now - self._swept_at < COUNT_EXPIRY_SECONDS:
            return
        self._swept_at = now
        self._usage = {
            name: usage
            for name, usage in self._usage.items()
            if name in self._pending
            or now - usage.used_at < COUNT_EXPIRY_SECONDS
        }


def _consume_share(usage: _Usage) -> bool:
    """Return whether a request passes; those that pass are evenly spread."""
    usage.credit = min(FULL_SHARE, usage.credit) + usage.share
    if usage.credit < FULL_SHARE:
        return False
    usage.credit -= FULL_SHARE
    return True
