"""What a trial reads from a node's control address."""

from asyncio import gather
from collections.abc import Iterable
from typing import Final, TypeVar
from urllib.parse import urlencode

import msgspec
from tornado.httpclient import HTTPClientError

from hillfield.control.pages import (
    ConfigurationPage,
    MembersPage,
    ServicePage,
    TargetsPage,
)
from hillfield.emulator.client import CurlClient
from hillfield.events import TimelineEntry, merge_timelines
from hillfield.model import Address

TIMEOUT: Final = 2.0
OK: Final = 200

Entries = tuple[TimelineEntry, ...]
PageKind = TypeVar('PageKind')


class ControlClient:
    """Read pages of nodes; None stands for a node that does not answer."""

    def __init__(self) -> None:
        """Open a client of its own, closed by `close`."""
        self._client = CurlClient(force_instance=True)

    async def explain(
        self,
        node: Address,
        service: str,
    ) -> ServicePage | None:
        """Return why each target of the service receives work or none."""
        return await self._read(node, f'/v1/explain/{service}', ServicePage)

    async def read_configuration(
        self,
        node: Address,
    ) -> ConfigurationPage | None:
        """Return the configuration in force at the node."""
        return await self._read(node, '/v1/configuration', ConfigurationPage)

    async def read_members(self, node: Address) -> MembersPage | None:
        """Return the fleet as the node sees it."""
        return await self._read(node, '/v1/members', MembersPage)

    async def read_targets(self, node: Address) -> TargetsPage | None:
        """Return the targets that the node knows."""
        return await self._read(node, '/v1/targets', TargetsPage)

    async def read_timeline(
        self,
        nodes: Iterable[Address],
        target: str,
    ) -> tuple[TimelineEntry, ...]:
        """Return what the nodes recorded of a target, in causal order."""
        query = urlencode({'target': target})
        parts = await gather(
            *(
                self._read(node, f'/v1/timeline?{query}', Entries)
                for node in nodes
            ),
        )
        return merge_timelines(filter(None, parts))

    async def is_ready(self, node: Address) -> bool:
        """Tell whether the node says that it takes work."""
        return await self._get(node, '/readyz') is not None

    def close(self) -> None:
        """Close the client's connections."""
        self._client.close()

    async def _read(
        self,
        node: Address,
        path: str,
        kind: type[PageKind],
    ) -> PageKind | None:
        body = await self._get(node, path)
        return None if body is None else msgspec.json.decode(body, type=kind)

    async def _get(self, node: Address, path: str) -> bytes | None:
        try:
            answer = await self._client.fetch(
                f'http://{node}{path}',
                raise_error=False,
                request_timeout=TIMEOUT,
            )
        except HTTPClientError:
            return None
        return answer.body if answer.code == OK else None
