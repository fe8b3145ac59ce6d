"""Requests that make targets exit, recognized by fingerprint and refused."""

from hillfield.crashes.comparing import ComparisonTimer
from hillfield.crashes.fingerprints import (
    Fingerprinter,
    RequestCaller,
    RequestIdentity,
)
from hillfield.crashes.messages import (
    AnswerRow,
    ClearRow,
    Comparison,
    CrashCodec,
    ExitRow,
    Findings,
    Inquiry,
    Message,
    StoredExits,
)
from hillfield.crashes.refusing import describe_refusal
from hillfield.crashes.registry import CrashRegistry, split_rows
from hillfield.crashes.runs import (
    LostRuns,
    Run,
    ServedRequests,
    TargetExit,
)

__all__ = (
    'AnswerRow',
    'ComparisonTimer',
    'ClearRow',
    'Comparison',
    'CrashCodec',
    'CrashRegistry',
    'ExitRow',
    'Fingerprinter',
    'Findings',
    'Inquiry',
    'RequestCaller',
    'RequestIdentity',
    'LostRuns',
    'Message',
    'Run',
    'ServedRequests',
    'StoredExits',
    'TargetExit',
    'describe_refusal',
    'split_rows',
)
