"""Settings of a node, read from TOML and checked whole."""

from hillfield.settings.node import NodeSettings
from hillfield.settings.problems import SettingsProblem
from hillfield.settings.sections import (
    AnnouncementSettings,
    LimitSettings,
    ListenSettings,
    LogFormat,
    LogLevel,
    LogSettings,
    TimelineSettings,
)

__all__ = (
    'AnnouncementSettings',
    'LimitSettings',
    'ListenSettings',
    'LogFormat',
    'LogLevel',
    'LogSettings',
    'NodeSettings',
    'SettingsProblem',
    'TimelineSettings',
)
