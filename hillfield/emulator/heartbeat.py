"""Announcements of an emulated target to its host's node."""

from typing import Final

import msgspec
from tornado.httpclient import HTTPClientError, HTTPRequest

from hillfield.emulator.client import CurlClient
from hillfield.model import Address, TargetState

PATH: Final = '/v1/targets'
TIMEOUT: Final = 2.0


class Announcement(msgspec.Struct, frozen=True):
    """Hold what a target tells its node, as sent in JSON."""

    service: str
    address: str
    incarnation: int
    slots: int
    connection_limit: int
    weight: float
    state: TargetState
    load: float | None


class Heartbeat:
    """Send announcements to one control address."""

    def __init__(self, control: Address) -> None:
        """Prepare a client of its own, closed by `close`."""
        self.sent = 0
        self.refused = ''
        self._url = f'http://{control}{PATH}'
        self._client = CurlClient(force_instance=True)

    async def announce(self, announcement: Announcement) -> bool:
        """Send one announcement; False when the node did not take it."""
        return await self._send(
            HTTPRequest(
                self._url,
                method='POST',
                body=msgspec.json.encode(announcement),
                headers={'Content-Type': 'application/json'},
                request_timeout=TIMEOUT,
            ),
        )

    async def withdraw(self, announcement: Announcement) -> bool:
        """Tell the node that the target is gone."""
        place = f'{announcement.service}/{announcement.address}'
        return await self._send(
            HTTPRequest(
                f'{self._url}/{place}',
                method='DELETE',
                request_timeout=TIMEOUT,
            ),
        )

    def close(self) -> None:
        """Close the client's connections."""
        self._client.close()

    async def _send(self, request: HTTPRequest) -> bool:
        try:
            await self._client.fetch(request)
        except HTTPClientError as error:
            self.refused = str(error)
            return False
        self.sent += 1
        return True
