"""Counts of unknown headers of targets' answers."""

from collections import Counter

from tornado.httputil import HTTPHeaders

from hillfield.events import EventCode, ListJournal
from hillfield.proxy.unknownheaders import (
    MAX_NAMES,
    OTHER_NAMES,
    UnknownHeaders,
)

KNOWN = frozenset(('X-Server-Signature',))


def test_unknown_header_is_logged_once_and_counted():
    journal = ListJournal()
    counts: Counter[str] = Counter()
    unread = UnknownHeaders(KNOWN, journal, lambda name: counts.update((name,)))
    answer = HTTPHeaders({'X-Server-Signature': 'x', 'x-target-mood': 'low'})
    unread.count_unknown(answer)
    unread.count_unknown(answer)
    assert counts == {'X-Target-Mood': 2}
    assert [occurrence.code for occurrence in journal.occurrences] == [
        EventCode.ANSWER_HEADER_UNREAD,
    ]
    assert journal.occurrences[0].detail == 'X-Target-Mood'


def test_counted_names_are_bounded():
    journal = ListJournal()
    counts: Counter[str] = Counter()
    unread = UnknownHeaders(KNOWN, journal, lambda name: counts.update((name,)))
    for number in range(10 * MAX_NAMES):
        unread.count_unknown(HTTPHeaders({f'X-Own-{number}': '1'}))
    assert len(journal.occurrences) == MAX_NAMES
    assert counts[OTHER_NAMES] == 9 * MAX_NAMES
