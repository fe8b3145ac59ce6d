"""Targets announce themselves to their host's node."""

from hillfield.announcements.incarnations import Life
from hillfield.announcements.messages import (
    Announcement,
    AnnouncementProblem,
    Refusal,
    read_announcement,
)
from hillfield.announcements.registry import TargetRegistry

__all__ = (
    'Announcement',
    'AnnouncementProblem',
    'Life',
    'Refusal',
    'TargetRegistry',
    'read_announcement',
)
