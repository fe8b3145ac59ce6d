"""Plain tables for people."""

from collections.abc import Sequence


def format_table(
    head: Sequence[str],
    rows: Sequence[Sequence[str]],
) -> str:
    """Return aligned columns under their names.

    >>> print(format_table(('a', 'b'), (('long', '1'), ('x', '2'))))
    A     B
    long  1
    x     2
    """
    lines = ([name.upper() for name in head], *rows)
    columns = zip(*lines, strict=True)
    widths = [max(map(len, column)) for column in columns]
    return '\n'.join(_format_line(line, widths) for line in lines)


def _format_line(line: Sequence[str], widths: Sequence[int]) -> str:
    cells = map(str.ljust, line, widths)
    return '  '.join(cells).rstrip()
