"""Notices in the headers of targets' answers."""

from pytest import mark
from tornado.httputil import HTTPHeaders

from hillfield.events import ListJournal
from hillfield.proxy.notices import AnswerHeaders, NoticeDialect
from hillfield.proxy.unknownheaders import UnknownHeaders

HEADER_NAMES = AnswerHeaders('X-Digest', 'X-Limit', 'X-Leaving')


def read(status=200, **headers):
    unread = UnknownHeaders(HEADER_NAMES.list_names(), ListJournal(), print)
    named = {f'X-{name}': text for name, text in headers.items()}
    answer = HTTPHeaders(named)
    return NoticeDialect(HEADER_NAMES, unread).read_notice(status, answer)


def test_answer_without_digest_has_no_notice():
    assert read(Limit='2', Leaving='1') is None


def test_misdirected_answer_has_no_notice():
    assert read(421, Digest='d', Limit='2', Leaving='1') is None


def test_signed_failures_carry_notices():
    assert read(500, Digest='d', Limit='24').rate == 24
    assert read(503, Digest='d', Leaving='1').leaving


def test_signed_answer_without_headers_sets_no_limit():
    notice = read(Digest='d')
    assert (notice.rate, notice.leaving, notice.limit_unreadable) == (
        None,
        False,
        False,
    )


def test_lowest_of_two_limits_counts():
    headers = HTTPHeaders({'X-Digest': 'd', 'X-Limit': '7'})
    headers.add('X-Limit', '3')
    unread = UnknownHeaders(HEADER_NAMES.list_names(), ListJournal(), print)
    notice = NoticeDialect(HEADER_NAMES, unread).read_notice(200, headers)
    assert notice is not None
    assert notice.rate == 3


@mark.parametrize(
    'text',
    (
        '',
        '-1',
        'nan',
        'inf',
        'Infinity',
        '1e3',
        '0x10',
        '2,',
        '2 a second',
        '٣',
        '1' * 400,
        '2.5'.ljust(400, '0'),
    ),
)
def test_invalid_limit_has_no_effect(text):
    notice = read(Digest='d', Limit=text)
    assert notice.rate is None
    assert notice.limit_unreadable
    assert 'X-Limit' in notice.unreadable
    assert len(notice.unreadable) < 80


@mark.parametrize('text', ('', 'yes', '2', '-1', 'true'))
def test_invalid_leaving_flag_is_reported_and_ignored(text):
    notice = read(Digest='d', Limit='2', Leaving=text)
    assert not notice.leaving
    assert notice.unreadable
    assert notice.rate == 2


def test_repeated_leaving_flag():
    assert read(Digest='d', Leaving='1, 1').leaving
    assert not read(Digest='d', Leaving='0').leaving
