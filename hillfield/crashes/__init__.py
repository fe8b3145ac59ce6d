"""Requests that make targets exit, recognized by fingerprint and refused."""

from hillfield.crashes.comparing import Asking
from hillfield.crashes.fingerprints import Fingerprinter, Likeness
from hillfield.crashes.ledger import CrashLedger, split_rows
from hillfield.crashes.messages import (
    ClearRow,
    Comparison,
    CrashCodec,
    EndRow,
    Findings,
    Inquiry,
    Message,
    StoredEnds,
)
from hillfield.crashes.refusing import describe_refusal
from hillfield.crashes.runs import LostRuns, Run, TargetEnd
from hillfield.crashes.served import ServedRequests

__all__ = (
    'Asking',
    'ClearRow',
    'Comparison',
    'CrashCodec',
    'CrashLedger',
    'EndRow',
    'Fingerprinter',
    'Findings',
    'Inquiry',
    'Likeness',
    'LostRuns',
    'Message',
    'Run',
    'ServedRequests',
    'StoredEnds',
    'TargetEnd',
    'describe_refusal',
    'split_rows',
)
