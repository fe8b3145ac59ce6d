"""Find fields that a data class doesn't have."""

from collections.abc import Iterator, Mapping
from difflib import get_close_matches
from functools import cache
from typing import get_args, get_type_hints

from hillfield.configuration.schema.problems import ConfigurationProblem
from hillfield.model import is_struct


@cache
def list_fields(kind: type) -> Mapping[str, object]:
    """Return the fields of a data class with their types."""
    return get_type_hints(kind)


def find_unknown(
    place: str,
    where: str,
    raw: object,
    kind: object,
) -> Iterator[ConfigurationProblem]:
    """Yield a problem for each field of `raw` that `kind` lacks."""
    inner = _find_data_class(kind)
    if inner is None:
        return
    if isinstance(raw, list):
        for index, part in enumerate(raw):
            yield from find_unknown(place, f'{where}[{index}]', part, inner)
    if not isinstance(raw, dict):
        return
    known = list_fields(inner)
    for field, part in raw.items():
        path = f'{where}.{field}'
        inner_kind = known.get(field)
        if inner_kind is None:
            fix = _propose(field, tuple(known))
            yield ConfigurationProblem(place, path, 'an unknown field', fix)
        else:
            yield from find_unknown(place, path, part, inner_kind)


def _find_data_class(kind: object) -> type | None:
    """Return the data class in `X`, `X | None` or `tuple[X, ...]`."""
    for candidate in (kind, *get_args(kind)):
        if is_struct(candidate):
            return candidate
    return None


def _propose(field: str, known: tuple[str, ...]) -> str:
    near = get_close_matches(field, known, n=1)
    if near:
        return f'write {near[0]} or take it out'
    return 'write one of {0} or take it out'.format(', '.join(known))
