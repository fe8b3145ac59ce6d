"""Routing of requests by host and path prefix."""

from hillfield.hostroutes.node_policy import make_policy
from hillfield.hostroutes.planner import HostPlanner, PlannerSettings
from hillfield.hostroutes.routes import (
    HostRoute,
    RouteLimits,
    RouteTable,
    SplitPart,
)

__all__ = (
    'HostPlanner',
    'HostRoute',
    'PlannerSettings',
    'RouteLimits',
    'RouteTable',
    'SplitPart',
    'make_policy',
)
