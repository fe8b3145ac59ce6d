"""Limits of client accounts that hold over all nodes together.

Each account has one counting node among the live ones. All others tell it
how much they have let through, and it answers with the share of requests
that may still pass where an account comes near its limit. Nothing is asked
before a request: one that is under its limit loses no time.
"""

from hillfield.quotas.counting import UseCounter
from hillfield.quotas.local import LocalUse
from hillfield.quotas.membership import Membership
from hillfield.quotas.messages import QuotaCodec, ShareRow, UseRow

__all__ = (
    'LocalUse',
    'Membership',
    'QuotaCodec',
    'ShareRow',
    'UseCounter',
    'UseRow',
)
