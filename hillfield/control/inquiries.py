"""Handlers for requests of operators and their tools."""

from asyncio import sleep
from collections.abc import Mapping
from http import HTTPStatus
from types import MappingProxyType
from typing import Final

from prometheus_client.exposition import CONTENT_TYPE_LATEST

from hillfield.announcements import Refusal
from hillfield.control.answers import JsonHandler, is_number
from hillfield.control.pages import FieldProblem, MembersPage, Readiness
from hillfield.events import TimelineFilter

DEFAULT_LIMIT: Final = 1000
MILLISECONDS_FIX: Final = 'write milliseconds since 1970, a whole number'
NUMBER_FIXES: Final[Mapping[str, str]] = MappingProxyType(
    {
        'since': MILLISECONDS_FIX,
        'until': MILLISECONDS_FIX,
        'limit': 'write how many of the newest events, 1 or more',
    },
)


class HealthHandler(JsonHandler):
    """Report that the process runs."""

    def get(self) -> None:
        """Respond 200, which shows that the event loop runs."""
        self.answer(Readiness(ready=True))


class ReadinessHandler(JsonHandler):
    """Report whether the node accepts requests."""

    def get(self) -> None:
        """Respond 200, or 503 with the reasons."""
        readiness = self.ports.view.read_readiness()
        status = HTTPStatus.OK
        if not readiness.ready:
            status = HTTPStatus.SERVICE_UNAVAILABLE
        self.answer(readiness, status)


class MetricsHandler(JsonHandler):
    """Serve the metrics to Prometheus."""

    async def get(self) -> None:
        """Respond in the text format, in pieces so as not to block the loop."""
        self.set_header('Content-Type', CONTENT_TYPE_LATEST)
        for piece in self.ports.metrics.render():
            self.write(piece)
            # Yields to the loop after each piece, so that other requests proceed.
            await sleep(0)  # noqa: WPS476


class ExplanationHandler(JsonHandler):
    """Explain a service."""

    def get(self, service: str) -> None:
        """Respond with the reasons why each target receives requests or none."""
        page = self.ports.view.explain(service)
        if page is None:
            known = ', '.join(self.ports.view.list_services()) or 'none'
            problem = FieldProblem('service', service, f'known here: {known}')
            self.refuse(HTTPStatus.NOT_FOUND, Refusal.UNKNOWN, problem)
            return
        self.answer(page)


class ConfigurationHandler(JsonHandler):
    """Show the state of the configuration."""

    def get(self) -> None:
        """Respond with the revision in force."""
        self.answer(self.ports.view.read_configuration())


class MembersHandler(JsonHandler):
    """List the nodes of the fleet."""

    def get(self) -> None:
        """Respond with the nodes that this node knows."""
        members = self.ports.view.list_members()
        self.answer(MembersPage(self.node.name, members))


class TimelineHandler(JsonHandler):
    """Serve this node's part of the time line."""

    def get(self) -> None:
        """Respond with the newest events that match the query, in order."""
        problems = tuple(filter(None, map(self._check_number, NUMBER_FIXES)))
        if problems:
            self.refuse(
                HTTPStatus.BAD_REQUEST,
                Refusal.MALFORMED,
                *problems,
            )
            return
        wanted = TimelineFilter(
            service=self.get_query_argument('service', ''),
            target=self.get_query_argument('target', ''),
            request=self.get_query_argument('request', ''),
            since=self._read_number('since'),
            until=self._read_number('until'),
        )
        limit = self._read_number('limit') or DEFAULT_LIMIT
        self.answer(self.ports.timeline.select(wanted)[-limit:])

    def _check_number(self, name: str) -> FieldProblem | None:
        text = self.get_query_argument(name, '')
        if not text or is_number(text):
            return None
        return FieldProblem(name, repr(text), NUMBER_FIXES[name])

    def _read_number(self, name: str) -> int | None:
        text = self.get_query_argument(name, '')
        return int(text) if text else None
