"""The bound on repeats of a service that holds over the whole fleet.

Each service has one counting node among the live ones. All others report to it
what they have spent and hold, and it lends repeats for a short time before they
are used. Nothing is asked before a repeat: what a node holds it may use at
once, and a small part of the bound is each node's own.
"""

from hillfield.repeats.bounds import RepeatBound
from hillfield.repeats.kinds import RepeatKind, RepeatTokens
from hillfield.repeats.lenders import Lenders
from hillfield.repeats.local import LocalUse, Sighting
from hillfield.repeats.messages import (
    LoanRow,
    Loans,
    RepeatCodec,
    Report,
    UseRow,
)
from hillfield.repeats.roster import Roster
from hillfield.repeats.sums import ACCOUNTS

__all__ = (
    'ACCOUNTS',
    'Lenders',
    'LoanRow',
    'Loans',
    'LocalUse',
    'RepeatBound',
    'RepeatCodec',
    'RepeatKind',
    'RepeatTokens',
    'Report',
    'Roster',
    'Sighting',
    'UseRow',
)
