"""Check an entry before it may come into force."""

from typing import Final

from expression import Error, Ok, Result
from msgspec import Struct

from hillfield.configuration.entries import Entry
from hillfield.configuration.schema.accounts import ClientAccount
from hillfield.configuration.schema.checks import check_account, check_template
from hillfield.configuration.schema.faults import Fault
from hillfield.configuration.schema.problems import ConfigurationProblem
from hillfield.configuration.schema.templates import Template
from hillfield.configuration.storage.keys import Keys
from hillfield.configuration.storage.payloads import (
    decode_bucket,
    decode_template,
)
from hillfield.configuration.storage.stored import StoredBucket, StoredTemplate

_FIX: Final = 'write it by `hillfield config apply`'


class ValidEntry(Struct, frozen=True):
    """Say that an entry may come into force; None: it holds no template."""

    template: Template | None


Validity = Result[ValidEntry, ConfigurationProblem]


def validate_entry(keys: Keys, entry: Entry) -> Validity:
    """Decode an entry and check all that it holds."""
    if keys.holds_template(entry.key):
        decoded = decode_template(entry.key, entry.payload)
        return decoded.bind(lambda stored: _check_stored(keys, entry, stored))
    if keys.holds_bucket(entry.key):
        bucket = decode_bucket(entry.key, entry.payload)
        return bucket.bind(lambda stored: _check_bucket(keys, entry, stored))
    problem = ConfigurationProblem(entry.key, 'key', 'a foreign key', _FIX)
    return Error(problem)


def _check_stored(
    keys: Keys,
    entry: Entry,
    stored: StoredTemplate,
) -> Validity:
    template = stored.template
    if template is None:
        return Ok(ValidEntry(None))
    faults = check_template(template)
    if faults:
        return Error(faults[0].locate(entry.key, 'template'))
    if keys.template(template.service) != entry.key:
        return Error(_misplaced(entry, template.service))
    return Ok(ValidEntry(template))


def _check_bucket(keys: Keys, entry: Entry, stored: StoredBucket) -> Validity:
    for name, account in stored.accounts.items():
        fault = _find_fault(account)
        if fault is not None:
            return Error(fault.locate(entry.key, name))
        if account.name != name or keys.account(name) != entry.key:
            return Error(_misplaced(entry, name))
    return Ok(ValidEntry(None))


def _find_fault(account: ClientAccount) -> Fault | None:
    return next(iter(check_account(account)), None)


def _misplaced(entry: Entry, name: str) -> ConfigurationProblem:
    return ConfigurationProblem(entry.key, 'name', repr(name), _FIX)
