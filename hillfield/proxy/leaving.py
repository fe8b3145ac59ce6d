"""Look whether a caller has left behind bytes that nobody has read."""

from select import POLLRDHUP, poll

from tornado.iostream import IOStream


def has_left(stream: IOStream) -> bool:
    """Tell whether the caller has ended its side.

    tornado learns of an end only once it has read all that came before.
    """
    if stream.closed():
        return True
    watcher = poll()
    watcher.register(stream.socket, POLLRDHUP)
    return bool(watcher.poll(0))
