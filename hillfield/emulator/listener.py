"""The listening side of an emulated target."""

from asyncio import CancelledError, Task, create_task, current_task
from collections.abc import Awaitable, Callable
from socket import AF_INET, AF_INET6, SO_REUSEADDR, SOL_SOCKET, socket
from typing import Any, Final

from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPServerRequest
from tornado.iostream import IOStream

from hillfield.emulator.accepting import Accepting
from hillfield.emulator.target_answers import cut, find_connection
from hillfield.model import Address

BACKLOG: Final = 512

Serve = Callable[[HTTPServerRequest], Awaitable[None]]


class Listener:
    """Take requests on one address; closing can be undone."""

    def __init__(self, address: Address, serve: Serve) -> None:
        """Prepare; a port of 0 becomes the real one at the first `open`."""
        self.address = address
        self._serve = serve
        self._holder: socket | None = None
        self._server: HTTPServer | None = None
        self._accepting: Accepting | None = None
        self._serving: dict[Task[None], HTTPServerRequest] = {}

    @property
    def busy(self) -> bool:
        """Tell whether requests are being served."""
        return bool(self._serving)

    @property
    def is_open(self) -> bool:
        """Tell whether it listens."""
        return self._server is not None

    def name(self) -> str:
        """Return the address as text."""
        return str(self.address)

    def open(self) -> None:
        """Listen; nothing happens when open already."""
        if self._server:
            return
        listening = self._holder or self._bind()
        self._holder = None
        listening.listen(BACKLOG)
        self._server = HTTPServer(self._accept)
        self._accepting = Accepting(listening, self._server)

    async def refuse(self) -> None:
        """Close, and keep the port so that `open` finds it free."""
        if self._server:
            await self.close()
            if not self.is_open:
                self._holder = self._bind()

    async def close(self) -> None:
        """Stop listening and cut all connections; safe to repeat."""
        if self._holder:
            self._holder.close()
            self._holder = None
        server = self._server
        accepting = self._accepting
        if server is None or accepting is None:
            return
        self._server = None
        # Requests whose bytes have come begin: their callers are told that
        # they may have run.
        await accepting.close(self._is_serving)
        for task, request in tuple(self._serving.items()):
            own = accepting.has_accepted(find_connection(request).stream)
            # The request that asked for closing goes on to its end.
            if own and task is not current_task():
                cut(request)
                task.cancel()
        await server.close_all_connections()

    def _bind(self) -> socket:
        # A bound socket that doesn't listen yet refuses connections.
        family = AF_INET6 if ':' in self.address.ip else AF_INET
        bound = socket(family)
        bound.setsockopt(SOL_SOCKET, SO_REUSEADDR, 1)
        bound.setblocking(False)
        bound.bind((self.address.ip, self.address.port))
        self.address = Address(self.address.ip, bound.getsockname()[1])
        return bound

    def _accept(self, request: HTTPServerRequest) -> None:
        task = create_task(self._run(request))
        self._serving[task] = request
        task.add_done_callback(self._forget)
        find_connection(request).set_close_callback(_Cancel(task))

    def _is_serving(self, stream: IOStream) -> bool:
        return any(
            find_connection(request).stream is stream
            for request in self._serving.values()
        )

    def _forget(self, task: Task[None]) -> None:
        self._serving.pop(task, None)

    async def _run(self, request: HTTPServerRequest) -> None:
        try:
            await self._serve(request)
        except CancelledError:
            # The caller went away: honest cancellation, the slot is free.
            return
        except OSError:
            # The connection broke while the answer was being written.
            return


class _Cancel:
    def __init__(self, task: Task[Any]) -> None:
        self._task = task

    def __call__(self) -> None:
        self._task.cancel()
