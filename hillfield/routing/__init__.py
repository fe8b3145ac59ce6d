"""Routing of requests to targets: observations in, decisions out."""

from hillfield.routing.dispatcher import Dispatcher
from hillfield.routing.explanations import LoadExplanation, RoutingExplanation
from hillfield.routing.table import DispatcherTable

__all__ = (
    'Dispatcher',
    'DispatcherTable',
    'LoadExplanation',
    'RoutingExplanation',
)
