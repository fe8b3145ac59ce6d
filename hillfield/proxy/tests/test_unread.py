"""Which headers of targets' answers show as read by nobody."""

from collections import Counter

from tornado.httputil import HTTPHeaders

from hillfield.events import EventCode, ListJournal
from hillfield.proxy.unread import MAX_NAMES, OTHER_NAMES, UnreadHeaders

KNOWN = frozenset(('X-Server-Signature',))


def test_a_word_that_nobody_reads_is_told_once_and_counted():
    journal = ListJournal()
    counts: Counter[str] = Counter()
    unread = UnreadHeaders(KNOWN, journal, lambda name: counts.update((name,)))
    answer = HTTPHeaders({'X-Server-Signature': 'x', 'x-target-mood': 'low'})
    unread.count_unknown(answer)
    unread.count_unknown(answer)
    assert counts == {'X-Target-Mood': 2}
    assert [told.code for told in journal.occurrences] == [
        EventCode.ANSWER_HEADER_UNREAD,
    ]
    assert journal.occurrences[0].detail == 'X-Target-Mood'


def test_names_are_bounded_where_a_target_invents_them():
    journal = ListJournal()
    counts: Counter[str] = Counter()
    unread = UnreadHeaders(KNOWN, journal, lambda name: counts.update((name,)))
    for number in range(10 * MAX_NAMES):
        unread.count_unknown(HTTPHeaders({f'X-Own-{number}': '1'}))
    assert len(journal.occurrences) == MAX_NAMES
    assert counts[OTHER_NAMES] == 9 * MAX_NAMES
