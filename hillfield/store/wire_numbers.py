"""Spell numbers the way the JSON mapping of protocol buffers does."""

from functools import singledispatch

import msgspec


@singledispatch
def spell(tree: object) -> object:
    """Write 64-bit numbers the way the JSON mapping wants them.

    >>> spell({'revision': 5, 'more': True})
    {'revision': '5', 'more': True}
    """
    return tree


@spell.register
def _(tree: msgspec.Struct) -> object:
    return spell(msgspec.to_builtins(tree))


@spell.register
def _(tree: int) -> str:
    return str(tree)


@spell.register
def _(tree: bool) -> bool:  # noqa: FBT001 - dispatch is by this type
    return tree


@spell.register
def _(tree: dict) -> dict[str, object]:  # type: ignore[type-arg]
    return {name: spell(branch) for name, branch in tree.items()}


@spell.register(list)
@spell.register(tuple)
def _(tree: list[object] | tuple[object, ...]) -> list[object]:
    return [spell(branch) for branch in tree]
