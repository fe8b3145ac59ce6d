"""Immutable values that all parts of hillfield share."""

from hillfield.model.addresses import (
    Address,
    normalize_authority,
    parse_address,
)
from hillfield.model.notices import (
    NO_NOTICE,
    IncarnationNotice,
    TargetNotice,
)
from hillfield.model.outcomes import Outcome, RequestFailure, Step
from hillfield.model.plans import (
    UNBOUNDED,
    AnswerChecks,
    RepeatBound,
    RepeatKind,
    RequestPlan,
    ServicePolicy,
    Urgency,
)
from hillfield.model.structs import encode_row, is_struct
from hillfield.model.targets import Locality, Target, TargetId, TargetState

__all__ = (
    'Address',
    'AnswerChecks',
    'IncarnationNotice',
    'Locality',
    'Outcome',
    'RepeatBound',
    'RepeatKind',
    'RequestFailure',
    'RequestPlan',
    'NO_NOTICE',
    'ServicePolicy',
    'Step',
    'Target',
    'TargetId',
    'TargetNotice',
    'TargetState',
    'UNBOUNDED',
    'Urgency',
    'encode_row',
    'is_struct',
    'normalize_authority',
    'parse_address',
)
