"""What an operator wants to stand in the store."""

from collections.abc import Iterable
from enum import StrEnum
from typing import Final

from msgspec import Struct

from hillfield.configuration.documents.files import Configuration
from hillfield.configuration.schema.accounts import ClientAccount
from hillfield.configuration.schema.templates import Template
from hillfield.configuration.storage.keys import Keys

Part = Template | ClientAccount
# Under the platform's limits of operations a transaction, and of its size.
KEYS_A_BATCH: Final = 64


class PartKind(StrEnum):
    """Name what an operator changes."""

    TEMPLATE = 'template'
    ACCOUNT = 'account'


class Goal(Struct, frozen=True):
    """Want a part to stand under a key; None wants it removed."""

    kind: PartKind
    name: str
    key: str
    wanted: Part | None

    def __str__(self) -> str:
        """Return the words for the history."""
        verb = 'remove ' if self.wanted is None else ''
        return f'{verb}{self.kind} {self.name}'


def want_template(
    keys: Keys,
    service: str,
    wanted: Template | None,
) -> Goal:
    """Want a template, or its removal."""
    key = keys.template(service)
    return Goal(PartKind.TEMPLATE, service, key, wanted)


def want_account(keys: Keys, name: str, wanted: ClientAccount | None) -> Goal:
    """Want a client account, or its removal."""
    return Goal(PartKind.ACCOUNT, name, keys.account(name), wanted)


def list_goals(keys: Keys, configuration: Configuration) -> tuple[Goal, ...]:
    """Want all that a configuration names; templates come first."""
    templates = [
        want_template(keys, template.service, template)
        for template in configuration.templates
    ]
    accounts = [
        want_account(keys, account.name, account)
        for account in configuration.accounts
    ]
    return (*templates, *sorted(accounts, key=_by_key))


def choose_segment(keys: Keys, goals: Iterable[Goal], change: str) -> str:
    """Return the key of the history segment that a change goes to.

    All changes of templates go to one: their routes are checked against
    each other, so of two that are made at once the later one must fail its
    compare-and-swap and be checked anew.
    """
    if any(goal.kind is PartKind.TEMPLATE for goal in goals):
        return keys.template_changes
    return keys.change(change)


def split_goals(goals: Iterable[Goal]) -> tuple[tuple[Goal, ...], ...]:
    """Split goals into batches that one transaction can hold.

    The goals of one key stay together; those of an ordinary change are one
    batch.
    """
    batches: list[list[Goal]] = [[]]
    keys: set[str] = set()
    for goal in goals:
        if goal.key not in keys and len(keys) == KEYS_A_BATCH:
            batches.append([])
            keys = set()
        keys.add(goal.key)
        batches[-1].append(goal)
    return tuple(tuple(batch) for batch in batches if batch)


def _by_key(goal: Goal) -> str:
    return goal.key
