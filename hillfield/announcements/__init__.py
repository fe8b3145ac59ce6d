"""Announcements by which targets register at the node of their host."""

from hillfield.announcements.incarnations import AnnouncedIncarnation
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
    'AnnouncedIncarnation',
    'Refusal',
    'TargetRegistry',
    'read_announcement',
)
