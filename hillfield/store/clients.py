"""Tornado's curl client, closed and renewed with requests running."""

from asyncio import Timeout, get_running_loop, timeout
from typing import Any, Final

from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPRequest, HTTPResponse

# Seconds beyond a request's time-out after which its client is given up. On
# the users' hosts curl let a request wait 3 s beyond its time-out of 6 s.
OVERDUE: Final = 0.5


class ClosableClient(CurlAsyncHTTPClient):
    """Ignore the timers that curl sets while it is being closed.

    To close a curl handle that still carries a request makes curl ask for
    another timer, which tornado would run on the client that is gone.
    """

    def initialize(self, *choices: Any, **settings: Any) -> None:
        """Set up; tornado calls this instead of `__init__`."""
        self._is_closed = False
        super().initialize(*choices, **settings)

    def close(self) -> None:
        """Close all connections, also of running requests."""
        self._is_closed = True
        super().close()

    def _set_timeout(self, msecs: int) -> None:
        if not self._is_closed:
            super()._set_timeout(msecs)


class RenewedClient:
    """Make requests by a client that is replaced if its time-outs fail."""

    def __init__(self, requests: int, answer_limit: int) -> None:
        """Allow so many requests at once, and answers of so many bytes."""
        self._requests = requests
        self._answer_limit = answer_limit
        self._client = self._open()
        self._running: set[Timeout] = set()

    async def fetch(self, request: HTTPRequest) -> HTTPResponse:
        """Return the answer, of any status; raise `TimeoutError` if late.

        Or if the client was given up meanwhile: nothing comes from it then.
        """
        client = self._client
        running = timeout((request.request_timeout or 0) + OVERDUE)
        self._running.add(running)
        try:
            async with running:
                return await client.fetch(request, raise_error=False)
        except TimeoutError:
            self._renew(client)
            raise
        finally:
            self._running.discard(running)

    def close(self) -> None:
        """Close all connections."""
        self._client.close()

    def _renew(self, late: ClosableClient) -> None:
        """Replace a client that was late, unless it has been replaced."""
        if late is not self._client:
            return
        late.close()
        self._client = self._open()
        now = get_running_loop().time()
        for running in self._running:
            if not running.expired():
                running.reschedule(now)

    def _open(self) -> ClosableClient:
        return ClosableClient(
            force_instance=True,
            max_clients=self._requests,
            max_body_size=self._answer_limit,
        )
