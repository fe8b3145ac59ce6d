"""Which answers say something of their target, and what is read of them."""

from pytest import mark
from tornado.httputil import HTTPHeaders

from hillfield.events import ListJournal
from hillfield.proxy.notices import AnswerWords, NoticingDialect
from hillfield.proxy.unread import UnreadHeaders

WORDS = AnswerWords('X-Digest', 'X-Limit', 'X-Leaving')


def read(status=200, **headers):
    unread = UnreadHeaders(WORDS.list_names(), ListJournal(), print)
    named = {f'X-{name}': text for name, text in headers.items()}
    answer = HTTPHeaders(named)
    return NoticingDialect(WORDS, unread).read_notice(status, answer)


def test_an_answer_without_its_digest_says_nothing():
    assert read(Limit='2', Leaving='1') is None


def test_a_misdirected_answer_says_nothing_of_this_life():
    assert read(421, Digest='d', Limit='2', Leaving='1') is None


def test_a_signed_failure_and_a_signed_refusal_say_it_too():
    assert read(500, Digest='d', Limit='24').rate == 24
    assert read(503, Digest='d', Leaving='1').leaving


def test_an_answer_without_the_words_says_that_there_is_no_need():
    said = read(Digest='d')
    assert (said.rate, said.leaving, said.vague) == (None, False, False)


def test_of_a_limit_given_twice_the_least_counts():
    headers = HTTPHeaders({'X-Digest': 'd', 'X-Limit': '7'})
    headers.add('X-Limit', '3')
    unread = UnreadHeaders(WORDS.list_names(), ListJournal(), print)
    said = NoticingDialect(WORDS, unread).read_notice(200, headers)
    assert said is not None
    assert said.rate == 3


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
def test_what_is_no_decimal_number_neither_limits_nor_lifts(text):
    said = read(Digest='d', Limit=text)
    assert said.rate is None
    assert said.vague
    assert 'X-Limit' in said.unread
    assert len(said.unread) < 80


@mark.parametrize('text', ('', 'yes', '2', '-1', 'true'))
def test_what_is_no_flag_is_told_and_not_taken_for_leaving(text):
    said = read(Digest='d', Limit='2', Leaving=text)
    assert not said.leaving
    assert said.unread
    assert said.rate == 2


def test_a_flag_given_twice_is_read_once():
    assert read(Digest='d', Leaving='1, 1').leaving
    assert not read(Digest='d', Leaving='0').leaving
