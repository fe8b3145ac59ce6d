"""Check for a caller that closed its side while input is unread."""

from select import POLLRDHUP, poll

from tornado.iostream import IOStream


def has_closed_writing(stream: IOStream) -> bool:
    """Return whether the caller has closed its side of the connection.

    Tornado detects that only once it has read all bytes before it.
    """
    if stream.closed():
        return True
    watcher = poll()
    watcher.register(stream.socket, POLLRDHUP)
    return bool(watcher.poll(0))
