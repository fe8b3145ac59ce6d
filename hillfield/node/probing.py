"""Probes of targets, as evidence in addition to real requests."""

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

PROBE_INTERVAL: Final = 0.5
PROBE_TIMEOUT: Final = 1
FIRST_ERROR_STATUS: Final = 400
# States in which a target gets too few real requests for evidence.
PROBED_STATES: Final = frozenset(('suspected', 'ejected', 'avoided', 'trial'))
MAXIMUM_REMEMBERED: Final = 4096


class ProbeOrder:
    """Choose the target to probe: of those not healthy, the longest unprobed.

    It does no I/O and remembers at most `MAXIMUM_REMEMBERED` probes.
    """

    def __init__(self) -> None:
        """Start without probes."""
        self._probed: dict[TargetId, float] = {}

    def choose(
        self,
        now: float,
        known: tuple[TargetExplanation, ...],
    ) -> TargetId | None:
        """Return the target to probe and record the probe; None if none is due."""
        candidates = [
            health.target for health in known if health.state in PROBED_STATES
        ]
        if not candidates:
            return None
        chosen = min(candidates, key=self._get_last_probe)
        self._probed.pop(chosen, None)
        self._probed[chosen] = now
        while len(self._probed) > MAXIMUM_REMEMBERED:
            self._probed.pop(next(iter(self._probed)))
        return chosen

    def _get_last_probe(self, target: TargetId) -> float:
        return self._probed.get(target, float('-inf'))


class Prober:
    """Probe at most one target each `PROBE_INTERVAL` seconds, by service."""

    def __init__(self, parts: Parts) -> None:
        """Prepare; `run` probes until it is cancelled."""
        self._parts = parts
        self._order = ProbeOrder()
        self._services: deque[str] = deque()
        self._client = CurlAsyncHTTPClient(force_instance=True)

    async def run(self) -> None:
        """Probe until cancelled."""
        while True:
            await asyncio.sleep(PROBE_INTERVAL)
            service = self._next_service()
            if service:
                await self._probe_service(service)

    def _next_service(self) -> str:
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
        detector = dispatcher.detector
        now = monotonic()
        target = self._order.choose(now, detector.explain(now))
        if target is None:
            return
        healthy = await self._fetch(target.address, policy.probe_path)
        ended = monotonic()
        detector.observe_probe(ended, target, healthy, ended - now)

    async def _fetch(self, address: Address, path: str) -> bool:
        request = HTTPRequest(
            f'http://{address}{path}',
            connect_timeout=PROBE_TIMEOUT,
            request_timeout=PROBE_TIMEOUT,
            follow_redirects=False,
        )
        try:
            answer = await self._client.fetch(request, raise_error=False)
        except (HTTPClientError, CurlFailure, OSError):
            return False
        return answer.code < FIRST_ERROR_STATUS
