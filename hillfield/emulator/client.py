"""The curl client that the emulators and trials use."""

from tornado.curl_httpclient import CurlAsyncHTTPClient


class CurlClient(CurlAsyncHTTPClient):
    """Ignore a timer that fires after the client was closed."""

    def _handle_timeout(self) -> None:
        # Closing sets the last timer off, which finds no handle any more.
        if self._multi is not None:
            super()._handle_timeout()
