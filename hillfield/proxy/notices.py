"""Notices of targets about themselves in the headers of their answers."""

import re
from http import HTTPStatus
from typing import Final

from msgspec import Struct
from tornado.httputil import HTTPHeaders

from hillfield.model import NO_NOTICE, TargetId, TargetNotice
from hillfield.proxy.dialects import names_request
from hillfield.proxy.unknownheaders import UnknownHeaders

# More digits than these are not a plausible limit.
DECIMAL: Final = re.compile(r'\d{1,9}(?:\.\d{1,9})?', re.ASCII)
# Characters shown of a header that can't be parsed.
SHOWN_CHARACTERS: Final = 40
FLAG: Final = re.compile('[01]')
KEEP_ALIVE: Final = re.compile(
    r'(?:^|,)\s*timeout=(\d{1,9})(?=\s*(?:,|$))',
    re.ASCII,
)
LEAVING: Final = '1'


class AnswerHeaders(Struct, frozen=True):
    """Names of the headers of targets' answers, in tornado's normalized case.

    `digest`: only the target that made the answer can write it; `limit`: the
    requests a second that it accepts from all nodes together; `leaving`: 1 if
    it accepts no new work; `others` are read elsewhere, or need not be read.
    """

    digest: str
    limit: str
    leaving: str
    others: frozenset[str] = frozenset()

    def list_names(self) -> frozenset[str]:
        """Return the names of all known headers."""
        return self.others | {self.digest, self.limit, self.leaving}


class NoticeDialect:
    """Parts common to dialects of targets that send notices."""

    def __init__(self, names: AnswerHeaders, unread: UnknownHeaders) -> None:
        """Use these header names; `unread` inspects all headers."""
        self._names = names
        self._unread = unread

    def read_notice(
        self,
        status: int,
        headers: HTTPHeaders,
    ) -> TargetNotice | None:
        """Return the target's notice; None if the answer can't carry one.

        An answer without the digest is not from the target, and a misdirected
        one (421) is from another incarnation.
        """
        misdirected = status == HTTPStatus.MISDIRECTED_REQUEST
        if misdirected or self._names.digest not in headers:
            return None
        return read_notice(headers, self._names)

    def read_capacity(self, target: TargetId, headers: HTTPHeaders) -> None:
        """Return None: targets don't report their capacity."""

    def is_answer_to(self, request: str, headers: HTTPHeaders) -> bool:
        """Return whether an answer belongs to the request of this id."""
        return names_request(request, headers)

    def inspect_headers(self, headers: HTTPHeaders) -> None:
        """Count the headers that are not known."""
        self._unread.count_unknown(headers)

    @property
    def sends_keepalives(self) -> bool:
        """Return False: interim answers come from the target itself."""
        return False


def read_notice(headers: HTTPHeaders, names: AnswerHeaders) -> TargetNotice:
    """Return the notice in an answer's headers.

    Of several limits the lowest counts. A limit that can't be parsed has no
    effect: it neither lifts the present limit nor sets one.

    >>> names = AnswerHeaders('Digest', 'Limit', 'Leaving')
    >>> read_notice(HTTPHeaders({'Limit': '3, 2.4'}), names).rate
    2.4
    >>> read_notice(HTTPHeaders({'Limit': '-1'}), names).unreadable
    "Limit: '-1'"
    >>> read_notice(HTTPHeaders({'Leaving': '1'}), names).leaving
    True
    """
    limit = headers.get(names.limit)
    leaving = headers.get(names.leaving)
    if limit is None and leaving is None:
        return NO_NOTICE
    rates = _read_all(DECIMAL, limit)
    flags = _read_all(FLAG, leaving)
    unread = (
        '' if rates else _show(names.limit, limit),
        '' if flags else _show(names.leaving, leaving),
    )
    return TargetNotice(
        min(map(float, rates), default=None),
        LEAVING in flags,
        ', '.join(filter(None, unread)),
        limit_unreadable=bool(unread[0]),
    )


def _read_all(form: re.Pattern[str], text: str | None) -> tuple[str, ...]:
    """Return the members of a list, if all of them match the pattern."""
    parts = tuple(map(str.strip, (text or '').split(',')))
    return parts if all(map(form.fullmatch, parts)) else ()


def _show(name: str, text: str | None) -> str:
    """Return a header that can't be parsed; nothing if there is none."""
    shown = repr(text)[:SHOWN_CHARACTERS]
    return '' if text is None else f'{name}: {shown}'


def read_keep_alive(headers: HTTPHeaders) -> float | None:
    """Return the announced keep-alive timeout in seconds, if any.

    >>> read_keep_alive(HTTPHeaders({'Keep-Alive': 'timeout=5, max=100'}))
    5.0
    >>> read_keep_alive(HTTPHeaders({'Keep-Alive': 'timeout=soon'}))
    """
    announced = KEEP_ALIVE.search(headers.get('Keep-Alive', ''))
    return None if announced is None else float(announced[1])
