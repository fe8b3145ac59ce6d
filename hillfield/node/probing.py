"""Probes of targets: a second source of evidence beside real requests."""

import asyncio
from collections import deque
from typing import Final

from pycurl import error as CurlFailure  # noqa: N812
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPClientError, HTTPRequest

from hillfield.clocks import monotonic
from hillfield.detection.explanations import TargetExplanation
from hillfield.model import Address, TargetId
from hillfield.node.parts import Parts

PAUSE: Final = 0.5
PROBE_SECONDS: Final = 1
FIRST_ERROR: Final = 400
# States in which real requests say little or nothing of a target.
DOUBTFUL: Final = frozenset(('suspected', 'ejected', 'avoided', 'trial'))
REMEMBERED: Final = 4096


class ProbeOrder:
    """Choose whom to probe next: doubtful targets, the longest unprobed.

    Pure but for its own memory, which is bounded.
    """

    def __init__(self) -> None:
        """Remember no probe."""
        self._probed: dict[TargetId, float] = {}

    def choose(
        self,
        now: float,
        known: tuple[TargetExplanation, ...],
    ) -> TargetId | None:
        """Return the target to probe and note that it is; None: nobody."""
        doubtful = [
            health.target for health in known if health.state in DOUBTFUL
        ]
        if not doubtful:
            return None
        chosen = min(doubtful, key=self._last)
        self._probed.pop(chosen, None)
        self._probed[chosen] = now
        while len(self._probed) > REMEMBERED:
            self._probed.pop(next(iter(self._probed)))
        return chosen

    def _last(self, target: TargetId) -> float:
        return self._probed.get(target, float('-inf'))


class Prober:
    """Probe at most one target each `PAUSE` seconds, service by service."""

    def __init__(self, parts: Parts) -> None:
        """Prepare; `run` probes until it is cancelled."""
        self._parts = parts
        self._order = ProbeOrder()
        self._services: deque[str] = deque()
        self._client = CurlAsyncHTTPClient(force_instance=True)

    async def run(self) -> None:
        """Probe for as long as the node runs."""
        while True:
            await asyncio.sleep(PAUSE)
            service = self._take_service()
            if service:
                await self._probe_service(service)

    def _take_service(self) -> str:
        if not self._services:
            self._services.extend(self._parts.table.services())
        return self._services.popleft() if self._services else ''

    async def _probe_service(self, service: str) -> None:
        policy = self._parts.configuration.policy(service)
        if policy is None or not policy.probe_path:
            return
        dispatcher = self._parts.table.find(service)
        if dispatcher is None:
            return
        board = dispatcher.board
        now = monotonic()
        target = self._order.choose(now, board.explain(now))
        if target is None:
            return
        healthy = await self._fetch(target.address, policy.probe_path)
        ended = monotonic()
        board.observe_probe(ended, target, healthy, ended - now)

    async def _fetch(self, address: Address, path: str) -> bool:
        request = HTTPRequest(
            f'http://{address}{path}',
            connect_timeout=PROBE_SECONDS,
            request_timeout=PROBE_SECONDS,
            follow_redirects=False,
        )
        try:
            answer = await self._client.fetch(request, raise_error=False)
        except (HTTPClientError, CurlFailure, OSError):
            return False
        return answer.code < FIRST_ERROR
