"""Laws of adoption: order makes no difference, never an older entry."""

from collections.abc import Iterable

from hypothesis import given, settings
from hypothesis import strategies as st

from hillfield.configuration.entries import Entry
from hillfield.configuration.schema.templates import RouteRule, Template
from hillfield.configuration.serving.adoptions import Adopted, Invalid, Stale
from hillfield.configuration.serving.digests import KeyRevision
from hillfield.configuration.serving.replica import Replica
from hillfield.configuration.storage.payloads import encode_stored
from hillfield.configuration.storage.stored import StoredTemplate
from hillfield.events import EventCode, ListJournal

NONE = Entry('', 0, b'')
SERVICES = ('a', 'b', 'c')


def make_template(service: str, revision: int) -> Template:
    route = RouteRule('all', ('GET',), f'/{service}')
    return Template(service, (route,), deadline=revision)


def make_entry(service: str, revision: int) -> Entry:
    template = make_template(service, revision)
    payload = encode_stored(StoredTemplate(1, (), template))
    return Entry(f'/hillfield/test/templates/{service}', revision, payload)


def damage(entry: Entry) -> Entry:
    return Entry(entry.key, entry.revision, entry.payload[1:])


names = st.sampled_from(SERVICES)
entries = st.builds(make_entry, names, st.integers(1, 6))
LAWS = settings(derandomize=True, max_examples=150, deadline=None)
mixed = st.one_of(entries, entries.map(damage))


def fill(given_entries: Iterable[Entry]) -> Replica:
    replica = Replica('test')
    for entry in given_entries:
        replica.adopt(entry)
    return replica


def state(replica: Replica) -> dict[str, Entry]:
    return {entry.key: entry for entry in replica.entries()}


@LAWS
@given(st.lists(mixed, max_size=12), st.randoms())
def test_order_and_repeats_make_no_difference(given_entries, random):
    shuffled = [*given_entries, *given_entries]
    random.shuffle(shuffled)
    one = fill(given_entries)
    other = fill(shuffled)
    assert state(one) == state(other)
    assert one.digest() == other.digest()
    for service in SERVICES:
        assert one.templates.find(service) == other.templates.find(service)


@LAWS
@given(st.lists(mixed, max_size=12))
def test_never_older_and_digest_tells_every_difference(given_entries):
    replica = Replica('test')
    for entry in given_entries:
        before = state(replica)
        digest = replica.digest()
        if isinstance(replica.adopt(entry), Adopted):
            assert state(replica)[entry.key] == entry
            assert entry.revision > before.get(entry.key, NONE).revision
            assert replica.digest() != digest
        else:
            assert state(replica) == before
            assert replica.digest() == digest


def test_bad_successor_leaves_the_earlier_in_force():
    replica = fill([make_entry('a', 3)])
    newer = make_entry('a', 5)
    adoption = replica.adopt(damage(newer))
    assert isinstance(adoption, Invalid)
    assert replica.refusals == 1
    assert replica.entry(make_entry('a', 3).key) == make_entry('a', 3)
    assert replica.templates.find('a') == make_template('a', 3)
    assert isinstance(replica.adopt(newer), Adopted)


def test_events_tell_of_refusals_and_of_changes_after_the_first_load():
    journal = ListJournal()
    replica = Replica('test', journal)
    replica.adopt(make_entry('a', 1))
    assert not journal.occurrences
    replica.adopt(damage(make_entry('a', 2)))
    replica.mark_complete()
    replica.mark_complete()
    replica.adopt(make_entry('a', 3))
    replica.adopt(make_entry('a', 3))
    assert [occurrence.code for occurrence in journal.occurrences] == [
        EventCode.CONFIGURATION_REFUSED,
        EventCode.CONFIGURATION_COMPLETE,
        EventCode.CONFIGURATION_ADOPTED,
    ]


def test_newer_schema_or_a_bad_template_is_invalid():
    replica = fill([make_entry('a', 3)])
    key = replica.keys.template('a')
    for stored in (
        StoredTemplate(2, (), None),
        StoredTemplate(1, (), Template('a', (), deadline=1)),
        StoredTemplate(1, (), Template('b', (), deadline=1)),
    ):
        adoption = replica.adopt(Entry(key, 9, encode_stored(stored)))
        assert isinstance(adoption, Invalid)
    assert replica.entry(make_entry('a', 3).key) == make_entry('a', 3)
    assert replica.templates.find('a') == make_template('a', 3)


def test_foreign_and_hostile_payloads_are_invalid():
    replica = Replica('test')
    assert isinstance(replica.adopt(Entry('/other/x', 1, b'x')), Invalid)
    bucket = replica.keys.bucket(0)
    # A frame that claims to hold a terabyte.
    bomb = bytes.fromhex('28b52ffde0 0000000000010000')
    for payload in (b'x', b'\x28\xb5\x2f\xfd', bomb, b'\x93' * 50):
        assert isinstance(replica.adopt(Entry(bucket, 1, payload)), Invalid)
    assert not list(replica.entries())


def test_refused_entry_is_asked_for_a_few_times_only():
    replica = Replica('test')
    entry = make_entry('a', 3)
    asked = 0
    while replica.wants(entry.key, entry.revision):
        replica.adopt(damage(entry))
        asked += 1
    assert asked == 3
    assert replica.wants(entry.key, 4)
    assert isinstance(replica.adopt(entry), Adopted)
    assert isinstance(replica.adopt(entry), Stale)
    assert not replica.wants(entry.key, 2)


def test_groups_narrow_a_difference_down():
    one = fill([make_entry('a', 1), make_entry('b', 2)])
    other = fill([make_entry('a', 1), make_entry('b', 7)])
    differing = [
        group
        for group, summary in enumerate(one.digest().groups)
        if summary != other.digest().groups[group]
    ]
    assert len(differing) == 1
    key = one.keys.template('b')
    assert one.revisions(differing[0]) == (KeyRevision(key, 2),)
    assert other.revisions(differing[0]) == (KeyRevision(key, 7),)
    assert other.digest().newest == 7
