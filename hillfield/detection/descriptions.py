"""Descriptions of evidence for people."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import Final

from hillfield.detection.evidence import Symptom

PHRASES: Final[Mapping[Symptom, str]] = MappingProxyType(
    {
        Symptom.NONE: 'failed',
        Symptom.SLOW: 'were much slower than at its peers',
        Symptom.WRONG: 'were answered wrongly',
        Symptom.BROKEN: 'were cut off',
        Symptom.STALLED: 'hung without an answer',
        Symptom.UNREACHABLE: 'could not connect',
    },
)


def describe(
    symptom: Symptom,
    requests: float,
    failures: float,
    nodes: int,
) -> str:
    """Describe the counts behind a decision.

    >>> describe(Symptom.WRONG, 4, 3, 2)
    '3 of 4 requests were answered wrongly, as seen by 2 nodes'
    """
    observers = 'this node' if nodes < 2 else f'{nodes} nodes'
    total = max(1, round(requests))
    failed = max(1, round(failures))
    return (
        f'{failed} of {total} requests {PHRASES[symptom]},'
        f' as seen by {observers}'
    )
