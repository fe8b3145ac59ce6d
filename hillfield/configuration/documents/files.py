"""Read a configuration from TOML files."""

from collections import Counter
from collections.abc import Iterator, Mapping
from pathlib import Path
from tomllib import loads as parse_toml
from typing import Final

from expression import Error, Ok, Result
from msgspec import Struct

from hillfield.configuration.documents.conversion import Problems, convert_parts
from hillfield.configuration.schema.accounts import ClientAccount
from hillfield.configuration.schema.problems import ConfigurationProblem
from hillfield.configuration.schema.templates import Template
from hillfield.configuration.storage.stored import SCHEMA

SCHEMA_FIELD: Final = 'schema'
BASE_FIELD: Final = 'based_on'
TOP_FIELDS: Final = (SCHEMA_FIELD, BASE_FIELD, 'template', 'account')
SECRETS_FILE: Final = 'callers.toml'


class Configuration(Struct, frozen=True):
    """Hold templates and accounts as written, not as stored.

    `based_on` is the store's revision from which the files were edited;
    None when they don't say.
    """

    templates: tuple[Template, ...]
    accounts: tuple[ClientAccount, ...]
    based_on: int | None = None


class _Document(Struct, frozen=True):
    place: str
    tables: Mapping[str, object]


def read_configuration(path: Path) -> Result[Configuration, Problems]:
    """Read a TOML file, or all `*.toml` files below a directory.

    Files named `callers.toml` are left out: they hold plain secrets of
    example callers. The error holds all problems found, not only the first.
    """
    problems: list[ConfigurationProblem] = []
    documents = [
        document
        for place in _list_files(path)
        for document in _load(place, problems)
    ]
    if not documents and not problems:
        problems.append(
            ConfigurationProblem(
                str(path),
                'file',
                'no *.toml file',
                'name a TOML file or a directory that holds some',
            ),
        )
    configuration = _gather(documents, problems)
    if problems:
        return Error(tuple(problems))
    return Ok(configuration)


def _list_files(path: Path) -> list[Path]:
    if not path.is_dir():
        return [path]
    found = sorted(path.rglob('*.toml'))
    return [place for place in found if place.name != SECRETS_FILE]


def _load(
    path: Path,
    problems: list[ConfigurationProblem],
) -> Iterator[_Document]:
    place = str(path)
    try:
        tables = parse_toml(path.read_text('utf-8'))
    except OSError as unreadable:
        fix = 'name a readable file'
        found = str(unreadable.strerror)
        problem = ConfigurationProblem(place, 'file', found, fix)
        problems.append(problem)
    except (ValueError, RecursionError) as malformed:
        fix = 'write it as TOML 1.0 in UTF-8'
        problem = ConfigurationProblem(place, 'file', str(malformed), fix)
        problems.append(problem)
    else:
        problems.extend(_check_top(place, tables))
        yield _Document(place, tables)


def _check_top(
    place: str,
    tables: Mapping[str, object],
) -> Iterator[ConfigurationProblem]:
    if not _is_schema(tables.get(SCHEMA_FIELD)):
        found = repr(tables.get(SCHEMA_FIELD, 'nothing'))
        fix = f'write schema = {SCHEMA} at the top'
        yield ConfigurationProblem(place, SCHEMA_FIELD, found, fix)
    based_on = tables.get(BASE_FIELD, 0)
    if not _is_revision(based_on):
        fix = 'write the revision that `hillfield config show` gave'
        yield ConfigurationProblem(place, BASE_FIELD, repr(based_on), fix)
    for field in set(tables) - set(TOP_FIELDS):
        fix = 'write one of {0}'.format(', '.join(TOP_FIELDS))
        yield ConfigurationProblem(place, field, 'an unknown field', fix)


def _is_schema(schema: object) -> bool:
    # Neither true nor 1.0, which equal 1 too.
    return schema == SCHEMA and repr(schema).isdigit()


def _is_revision(based_on: object) -> bool:
    # A bool is an int too, but no revision.
    if isinstance(based_on, bool) or not isinstance(based_on, int):
        return False
    return based_on >= 0


def _gather(
    documents: list[_Document],
    problems: list[ConfigurationProblem],
) -> Configuration:
    templates: list[Template] = []
    accounts: list[ClientAccount] = []
    bases: list[int] = []
    for document in documents:
        tables = document.tables
        based_on = tables.get(BASE_FIELD)
        if isinstance(based_on, int):
            bases.append(based_on)
        place = document.place
        templates.extend(convert_parts(place, tables, Template, problems))
        accounts.extend(convert_parts(place, tables, ClientAccount, problems))
    problems.extend(_find_twice('template', [one.service for one in templates]))
    problems.extend(_find_twice('account', [one.name for one in accounts]))
    return Configuration(
        tuple(templates),
        tuple(accounts),
        # Whatever changed after the oldest of the bases may be overwritten.
        min(bases, default=None),
    )


def _find_twice(
    field: str,
    names: list[str],
) -> Iterator[ConfigurationProblem]:
    for name, count in Counter(names).items():
        if count > 1:
            fix = 'take all but one out'
            yield ConfigurationProblem(name, field, f'{count} of it', fix)
