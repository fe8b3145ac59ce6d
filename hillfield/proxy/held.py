"""Answer to a request whose turn on its connection has not come."""

from asyncio import Future, get_running_loop
from collections.abc import Callable


from hillfield.model import RequestFailure
from hillfield.proxy.heads import Passage
from hillfield.proxy.incoming import IncomingAnswer
from hillfield.proxy.replies import Reply

Writing = Callable[[Reply], None]


class HeldReply(Reply):
    """Keep an answer until the reply of its turn is there to write it."""

    def __init__(self, before: Reply) -> None:
        """Wait behind another reply of the same connection."""
        super().__init__(before.connection, before.stream, before.dialect)
        self._turn: Future[Reply] = get_running_loop().create_future()
        self._kept: Writing | None = None

    def attach(self, reply: Reply) -> None:
        """Write by this reply from now on, first what is kept."""
        self._turn.set_result(reply)
        kept = self._kept
        self._kept = None
        if kept is not None:
            kept(reply)

    def follow_end(self, callback: Callable[[], None]) -> None:
        """Follow nothing: the connection tells the request of its end."""

    def fail(self, failure: RequestFailure, request: str) -> None:
        """Answer with a failure, in turn."""
        self._write(lambda reply: reply.fail(failure, request))

    def send_whole(self, answer: IncomingAnswer, passage: Passage) -> None:
        """Relay a whole answer, in turn."""
        self._write(lambda reply: reply.send_whole(answer, passage))

    async def begin(  # type: ignore[override]
        self,
        answer: IncomingAnswer,
        passage: Passage,
    ) -> None:
        """Relay the head and what is held, in turn; `write_part` follows."""
        self.begun = True
        reply = await self._turn
        await reply.begin(answer, passage)

    def send_sign(self) -> None:
        """Show nothing: another answer is written before."""

    def write_part(self, part: bytes) -> 'Future[None]':
        """Relay a part of an answer whose turn has come."""
        return self._turn.result().write_part(part)

    def end(self) -> None:
        """End a whole answer, in turn."""
        self._write(Reply.end)

    def abort(self) -> None:
        """End the connection, in turn, so that the answer isn't whole."""
        self._write(Reply.abort)

    def _write(self, writing: Writing) -> None:
        self.begun = True
        if self._turn.done():
            writing(self._turn.result())
        else:
            self._kept = writing
