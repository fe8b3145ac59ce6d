"""Headers of targets' answers that are not known."""

from collections.abc import Callable
from typing import Final

from tornado.httputil import HTTPHeaders

from hillfield.events import EventCode, Journal, Occurrence

# Names that are counted separately: each is a metric series and a log line.
MAX_NAMES: Final = 16
OTHER_NAMES: Final = 'others'
# Standard HTTP headers, in tornado's normalized case.
STANDARD: Final = frozenset(
    (
        'Age',
        'Cache-Control',
        'Connection',
        'Content-Encoding',
        'Content-Language',
        'Content-Length',
        'Content-Type',
        'Date',
        'Etag',
        'Expires',
        'Keep-Alive',
        'Last-Modified',
        'Location',
        'Retry-After',
        'Server',
        'Set-Cookie',
        'Transfer-Encoding',
        'Vary',
        'Via',
        'X-Request-Id',
    ),
)


class UnknownHeaders:
    """Counts of unknown headers by name; each name is logged once.

    A header by which a target reports something about itself would otherwise
    go unnoticed among the others that are forwarded.
    """

    def __init__(
        self,
        known: frozenset[str],
        journal: Journal,
        counter: Callable[[str], None],
    ) -> None:
        """Start without names; `counter` gets the unknown names of answers."""
        self._known = STANDARD | known
        self._journal = journal
        self._counter = counter
        self._seen: set[str] = set()

    def count_unknown(self, headers: HTTPHeaders) -> None:
        """Count the unknown headers of an answer."""
        for name in headers.keys():
            if name not in self._known:
                self._count(name)

    def _count(self, name: str) -> None:
        if name not in self._seen:
            if len(self._seen) >= MAX_NAMES:
                self._counter(OTHER_NAMES)
                return
            self._seen.add(name)
            self._journal.record(
                Occurrence(EventCode.ANSWER_HEADER_UNREAD, detail=name),
            )
        self._counter(name)
