"""Read what targets say of themselves in the headers of their answers."""

import re
from http import HTTPStatus
from typing import Final

from msgspec import Struct
from tornado.httputil import HTTPHeaders

from hillfield.model import SAYS_NOTHING, TargetId, TargetNotice
from hillfield.proxy.dialects import names_request
from hillfield.proxy.unread import UnreadHeaders

# A longer one is no limit that anybody means.
DECIMAL: Final = re.compile(r'\d{1,9}(?:\.\d{1,9})?', re.ASCII)
# Characters that are shown of a word that can't be read.
SHOWN: Final = 40
FLAG: Final = re.compile('[01]')
KEPT: Final = re.compile(r'(?:^|,)\s*timeout=(\d{1,9})(?=\s*(?:,|$))', re.ASCII)
LEAVES: Final = '1'


class AnswerWords(Struct, frozen=True):
    """Name the headers of targets' answers, as tornado normalises them.

    `digest`: only the target that made the answer can write it; `limit`: the
    requests a second that it takes from all nodes together; `leaving`: 1 where
    it takes no new work; `others` are read elsewhere, or need not be read.
    """

    digest: str
    limit: str
    leaving: str
    others: frozenset[str] = frozenset()

    def list_names(self) -> frozenset[str]:
        """Return all headers that there is a word for."""
        return self.others | {self.digest, self.limit, self.leaving}


class NoticingDialect:
    """Read what is alike in targets' answers, whatever the headers' names."""

    def __init__(self, words: AnswerWords, unread: UnreadHeaders) -> None:
        """Read by these words; `unread` sees all headers."""
        self._words = words
        self._unread = unread

    def read_notice(
        self,
        status: int,
        headers: HTTPHeaders,
    ) -> TargetNotice | None:
        """Return what an answer says of its target; None: it can't say.

        Without its digest it is not the target's, nor if it says that it is
        another life's.
        """
        misdirected = status == HTTPStatus.MISDIRECTED_REQUEST
        if misdirected or self._words.digest not in headers:
            return None
        return read_notice(headers, self._words)

    def read_room(self, target: TargetId, headers: HTTPHeaders) -> None:
        """Return nothing: targets don't tell of their room."""

    def is_answer_to(self, request: str, headers: HTTPHeaders) -> bool:
        """Tell whether an answer belongs to the request of this id."""
        return names_request(request, headers)

    def note_headers(self, headers: HTTPHeaders) -> None:
        """Count those that there is no word for."""
        self._unread.note(headers)

    @property
    def sends_signs(self) -> bool:
        """Tell that interim answers come of the target itself."""
        return False


def read_notice(headers: HTTPHeaders, words: AnswerWords) -> TargetNotice:
    """Return what an answer's headers say of its target.

    Of several limits the least counts. One that can't be read says nothing:
    it neither lifts the limit that holds nor makes one.

    >>> words = AnswerWords('Digest', 'Limit', 'Leaving')
    >>> read_notice(HTTPHeaders({'Limit': '3, 2.4'}), words).rate
    2.4
    >>> read_notice(HTTPHeaders({'Limit': '-1'}), words).unread
    "Limit: '-1'"
    >>> read_notice(HTTPHeaders({'Leaving': '1'}), words).leaving
    True
    """
    limit = headers.get(words.limit)
    leaving = headers.get(words.leaving)
    if limit is None and leaving is None:
        return SAYS_NOTHING
    rates = _read_all(DECIMAL, limit)
    flags = _read_all(FLAG, leaving)
    unread = (
        '' if rates else _show(words.limit, limit),
        '' if flags else _show(words.leaving, leaving),
    )
    return TargetNotice(
        min(map(float, rates), default=None),
        LEAVES in flags,
        ', '.join(filter(None, unread)),
        vague=bool(unread[0]),
    )


def _read_all(form: re.Pattern[str], text: str | None) -> tuple[str, ...]:
    """Return the members of a list, if all of them have the form."""
    parts = tuple(map(str.strip, (text or '').split(',')))
    return parts if all(map(form.fullmatch, parts)) else ()


def _show(name: str, text: str | None) -> str:
    """Return what can't be read of a header; nothing where there is none."""
    shown = repr(text)[:SHOWN]
    return '' if text is None else f'{name}: {shown}'


def read_kept(headers: HTTPHeaders) -> float | None:
    """Return the seconds for which an idle connection is kept, if told.

    >>> read_kept(HTTPHeaders({'Keep-Alive': 'timeout=5, max=100'}))
    5.0
    >>> read_kept(HTTPHeaders({'Keep-Alive': 'timeout=soon'}))
    """
    told = KEPT.search(headers.get('Keep-Alive', ''))
    return None if told is None else float(told[1])
