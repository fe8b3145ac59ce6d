"""The newest entries of the configuration that one node holds."""

from collections.abc import Iterator

from expression import Result
from xxhash import xxh64_intdigest

from hillfield.configuration.entries import Entry
from hillfield.configuration.serving.adoptions import (
    Adopted,
    Adoption,
    Invalid,
    Stale,
    describe,
)
from hillfield.configuration.serving.digests import (
    GROUPS,
    Digest,
    KeyRevision,
    group_of,
    hash_revision,
)
from hillfield.configuration.serving.refused_entries import RefusedEntries
from hillfield.configuration.serving.template_set import TemplateSet
from hillfield.configuration.serving.validation import (
    ValidEntry,
    validate_entry,
)
from hillfield.configuration.storage.keys import Keys
from hillfield.events import EventCode, Journal, Occurrence


class Replica:
    """Hold the newest valid entry of each key; never go back to an older.

    `adopt` is commutative, associative and idempotent: nodes that have seen
    the same entries hold the same, in whatever order they came. A deletion
    stays as an entry with an empty payload, so that a node that lags can't
    bring the older one back.
    """

    def __init__(self, cluster: str, journal: Journal | None = None) -> None:
        """Start empty; without a journal nothing is recorded."""
        self.keys = Keys(cluster)
        self.templates = TemplateSet()
        self.refusals = 0
        self._journal = journal
        self._entries: dict[str, Entry] = {}
        self._groups = [0 for _ in range(GROUPS)]
        self._refused = RefusedEntries()
        self._newest = 0
        self._complete = False

    @property
    def complete(self) -> bool:
        """Say whether what is absent here is absent in the store too."""
        return self._complete

    def mark_complete(self) -> None:
        """Note that the node has once held all that the store held.

        Until then a missing account is not refused: the caller is told to
        come back.
        """
        if self._complete:
            return
        self._complete = True
        self._record(
            Occurrence(
                EventCode.CONFIGURATION_COMPLETE,
                detail=f'up to revision {self._newest}',
            ),
        )

    def adopt(self, entry: Entry) -> Adoption:
        """Take an entry over if it is valid and newer than what is held."""
        held = self._entries.get(entry.key)
        if held is not None and held.revision >= entry.revision:
            return Stale(entry.key, held.revision)
        adoption = self._judge(entry)
        # The first load is thousands of entries; its end is one event.
        if self._complete or isinstance(adoption, Invalid):
            self._record(*describe(adoption))
        return adoption

    def wants(self, key: str, revision: int) -> bool:
        """Say whether an entry, known by its revision, would be news.

        One that has been refused a few times isn't asked for again.
        """
        held = self._entries.get(key)
        if held is not None and held.revision >= revision:
            return False
        return not self._refused.is_given_up(key, revision)

    def entry(self, key: str) -> Entry | None:
        """Return the entry in force."""
        return self._entries.get(key)

    def entries(self) -> Iterator[Entry]:
        """Iterate over all entries, in no order."""
        return iter(self._entries.values())

    def digest(self) -> Digest:
        """Sum up what is held, for a comparison with another node."""
        return Digest(
            root=xxh64_intdigest(repr(self._groups).encode()),
            groups=tuple(self._groups),
            entries=len(self._entries),
            newest=self._newest,
        )

    def revisions(self, group: int) -> tuple[KeyRevision, ...]:
        """Return the keys of a group with their revisions, sorted."""
        return tuple(
            KeyRevision(key, entry.revision)
            for key, entry in sorted(self._entries.items())
            if group_of(key) == group
        )

    def _judge(self, entry: Entry) -> Adoption:
        match validate_entry(self.keys, entry):
            case Result(tag='ok', ok=ValidEntry(template=template)):
                self._put(entry)
                if self.keys.holds_template(entry.key):
                    service = entry.key.removeprefix(self.keys.templates)
                    self.templates.put(service, template)
                return Adopted(entry)
            case Result(error=problem):
                self.refusals += 1
                self._refused.note(entry)
                return Invalid(entry.key, entry.revision, problem)

    def _put(self, entry: Entry) -> None:
        group = group_of(entry.key)
        held = self._entries.get(entry.key)
        if held is not None:
            self._groups[group] ^= hash_revision(held.key, held.revision)
        self._groups[group] ^= hash_revision(entry.key, entry.revision)
        self._entries[entry.key] = entry
        self._newest = max(self._newest, entry.revision)
        self._refused.forget(entry.key)

    def _record(self, *occurrences: Occurrence) -> None:
        if self._journal is None:
            return
        for occurrence in occurrences:
            self._journal.record(occurrence)
