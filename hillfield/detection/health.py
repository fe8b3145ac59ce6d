"""The state chart of a target's health, its triggers and actions."""

from collections.abc import Mapping
from enum import StrEnum
from importlib.resources import files
from types import MappingProxyType
from typing import Final

from hillfield.charts import read_chart
from hillfield.events import EventCode


class Health(StrEnum):
    """Name the state of a target as one node sees it."""

    WARMING = 'warming'
    HEALTHY = 'healthy'
    SUSPECTED = 'suspected'
    EJECTED = 'ejected'
    AVOIDED = 'avoided'
    TRIAL = 'trial'
    DRAINING = 'draining'


class HealthTrigger(StrEnum):
    """Name a cause of a change of a target's health."""

    WARM = 'warm'
    SUSPECT = 'suspect'
    CLEAR = 'clear'
    EJECT = 'condemn'
    AVOID = 'shun'
    START_TRIAL = 'try'
    RECOVER = 'recover'
    DRAIN = 'drain'
    RETURN = 'return'


class HealthAction(StrEnum):
    """Name the event that reports a change."""

    NONE = 'none'
    REPORT_SUSPECTED = 'report-suspected'
    REPORT_CLEARED = 'report-cleared'
    REPORT_EJECTED = 'report-ejected'
    REPORT_AVOIDED = 'report-avoided'
    REPORT_TRIED = 'report-tried'
    REPORT_RESTORED = 'report-restored'
    REPORT_DRAINED = 'report-drained'


HEALTH_CHART: Final = read_chart(
    files('hillfield.detection') / 'health.toml'
).bind(
    Health,
    HealthTrigger,
    HealthAction,
)
EVENT_CODES: Final[Mapping[HealthAction, EventCode]] = MappingProxyType(
    {
        HealthAction.REPORT_SUSPECTED: EventCode.TARGET_SUSPECTED,
        HealthAction.REPORT_CLEARED: EventCode.TARGET_CLEARED,
        HealthAction.REPORT_EJECTED: EventCode.TARGET_EJECTED,
        HealthAction.REPORT_AVOIDED: EventCode.TARGET_AVOIDED,
        HealthAction.REPORT_TRIED: EventCode.TARGET_TRIED,
        HealthAction.REPORT_RESTORED: EventCode.TARGET_RESTORED,
        HealthAction.REPORT_DRAINED: EventCode.TARGET_DRAINED,
    },
)
OUT_OF_ROTATION: Final = frozenset((Health.EJECTED, Health.AVOIDED))
IN_SERVICE: Final = frozenset(
    (Health.WARMING, Health.HEALTHY, Health.SUSPECTED),
)
