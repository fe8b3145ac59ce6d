"""The store's values as an editor reads them."""

from collections.abc import Mapping
from operator import attrgetter

from expression import Result
from msgspec import Struct
from msgspec.structs import replace

from hillfield.configuration.editing.goals import Goal, Part
from hillfield.configuration.schema.accounts import ClientAccount
from hillfield.configuration.schema.problems import ConfigurationProblem
from hillfield.configuration.schema.templates import Template
from hillfield.configuration.storage.keys import Keys
from hillfield.configuration.storage.payloads import (
    decode_bucket,
    decode_changes,
    decode_template,
)
from hillfield.configuration.storage.stored import (
    Stamp,
    StoredBucket,
    StoredChanges,
    StoredTemplate,
)
from hillfield.store.ports import StoredValue


class Held(Struct, frozen=True):
    """Hold one value of the store, decoded; revision 0: it is absent.

    Each of the `stamps` but those overwritten has its revision filled in.
    """

    key: str
    revision: int
    stamps: tuple[Stamp, ...]
    parts: Mapping[str, Part]

    def find_stamp(self, change: str) -> Stamp | None:
        """Return the stamp of a change, if this value still has it."""
        for stamp in self.stamps:
            if stamp.change == change:
                return stamp
        return None


class DecodedSnapshot(Struct, frozen=True):
    """Hold what a change depends on, as it was read.

    Templates are all there; of the buckets and the history only what the
    change touches. It shows all changes up to `revision` of the store.
    """

    read: Mapping[str, Held]
    revision: int = 0

    def held(self, key: str) -> Held:
        """Return the value of a key, also when it is absent."""
        return self.read.get(key) or Held(key, 0, (), {})

    def find(self, goal: Goal) -> Part | None:
        """Return what stands where the goal wants to have something."""
        return self.held(goal.key).parts.get(goal.name)

    def templates(self) -> dict[str, Template]:
        """Return all templates by service."""
        return {
            name: part
            for held in self.read.values()
            for name, part in held.parts.items()
            if isinstance(part, Template)
        }

    def accounts(self) -> tuple[ClientAccount, ...]:
        """Return all accounts that were read, by name."""
        found = [
            part
            for held in self.read.values()
            for part in held.parts.values()
            if isinstance(part, ClientAccount)
        ]
        return tuple(sorted(found, key=attrgetter('name')))


def decode_held(
    keys: Keys,
    found: StoredValue,
) -> Result[Held, ConfigurationProblem]:
    """Decode a value by the kind of its key."""
    if keys.holds_template(found.key):
        template = decode_template(found.key, found.payload)
        return template.map(lambda stored: _hold_template(found, stored))
    if keys.holds_bucket(found.key):
        bucket = decode_bucket(found.key, found.payload)
        return bucket.map(
            lambda stored: _hold(found, stored, stored.accounts),
        )
    changes = decode_changes(found.key, found.payload)
    return changes.map(lambda stored: _hold(found, stored, {}))


def _hold_template(found: StoredValue, stored: StoredTemplate) -> Held:
    template = stored.template
    parts = {} if template is None else {template.service: template}
    return _hold(found, stored, parts)


def _hold(
    found: StoredValue,
    stored: StoredTemplate | StoredBucket | StoredChanges,
    parts: Mapping[str, Part],
) -> Held:
    stamps = tuple(
        replace(stamp, revision=stamp.revision or found.revision)
        for stamp in stored.stamps
    )
    return Held(found.key, found.revision, stamps, parts)
