"""Requests that end the targets that run them, known again by their likeness."""

from hillfield.crashes.fingerprints import Fingerprinter, Likeness
from hillfield.crashes.runs import LostRuns, Run, TargetEnd

__all__ = (
    'Fingerprinter',
    'Likeness',
    'LostRuns',
    'Run',
    'TargetEnd',
)
