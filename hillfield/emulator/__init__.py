"""Emulated targets and callers, and the oracle that judges their records."""

from hillfield.emulator.behaviour import Behaviour
from hillfield.emulator.caller import Caller
from hillfield.emulator.caller_settings import (
    CallerSettings,
    CallKind,
    Credentials,
)
from hillfield.emulator.facts import (
    AcceptedFact,
    GracefulFact,
    InForceFact,
    Promise,
    RotationFact,
    Trial,
    Verdict,
)
from hillfield.emulator.oracle import judge
from hillfield.emulator.records import Call, Ending, Run, TargetRecord
from hillfield.emulator.target import EmulatedTarget
from hillfield.emulator.target_settings import ServiceTime, TargetSettings

__all__ = (
    'AcceptedFact',
    'Behaviour',
    'Call',
    'CallKind',
    'Caller',
    'CallerSettings',
    'Credentials',
    'EmulatedTarget',
    'Ending',
    'GracefulFact',
    'InForceFact',
    'Promise',
    'RotationFact',
    'Run',
    'ServiceTime',
    'TargetRecord',
    'TargetSettings',
    'Trial',
    'Verdict',
    'judge',
)
