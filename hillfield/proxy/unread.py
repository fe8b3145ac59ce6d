"""Headers of targets' answers that there is no word for."""

from collections.abc import Callable
from typing import Final

from tornado.httputil import HTTPHeaders

from hillfield.events import EventCode, Journal, Occurrence

# Names that are told apart: each is a series of the metrics and a log line.
NAMES_TOLD: Final = 16
OTHERS: Final = 'others'
# Those of the field's standards, in the case to which tornado normalises them.
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


class UnreadHeaders:
    """Count them by name, and tell of each name once.

    A word of a target about itself that nobody reads looks like any other
    header that is passed on; here it shows.
    """

    def __init__(
        self,
        known: frozenset[str],
        journal: Journal,
        counter: Callable[[str], None],
    ) -> None:
        """Start without any; `counter` is told a name at each answer."""
        self._known = STANDARD | known
        self._journal = journal
        self._counter = counter
        self._told: set[str] = set()

    def note(self, headers: HTTPHeaders) -> None:
        """Look at the headers of an answer."""
        for name in headers.keys():
            if name not in self._known:
                self._count(name)

    def _count(self, name: str) -> None:
        if name not in self._told:
            if len(self._told) >= NAMES_TOLD:
                self._counter(OTHERS)
                return
            self._told.add(name)
            self._journal.record(
                Occurrence(EventCode.ANSWER_HEADER_UNREAD, detail=name),
            )
        self._counter(name)
