"""HTTP server of a node for targets, operators and Prometheus."""

from hillfield.control.pages import (
    AnnouncedPage,
    ConfigurationPage,
    ErrorPage,
    FieldProblem,
    MemberPage,
    MembersPage,
    Readiness,
    ServicePage,
    TargetPage,
    TargetReport,
    TargetsPage,
)
from hillfield.control.ports import ControlPorts, NodeView
from hillfield.control.server import ControlServer

__all__ = (
    'AnnouncedPage',
    'ConfigurationPage',
    'ControlPorts',
    'ControlServer',
    'ErrorPage',
    'FieldProblem',
    'MemberPage',
    'MembersPage',
    'NodeView',
    'Readiness',
    'ServicePage',
    'TargetPage',
    'TargetReport',
    'TargetsPage',
)
