"""A limit on log lines per event code and second."""

from dataclasses import dataclass
from typing import Final

from hillfield.settings import TimelineSettings

MILLISECONDS: Final = 1000


@dataclass(slots=True)
class _Second:
    number: int
    lines: int = 0
    suppressed: int = 0


class LineLimit:
    """Count the lines of each code in the current second.

    >>> limit = LineLimit(TimelineSettings(lines_per_second=1))
    >>> [limit.admit(wall, 1001) for wall in (0, 1, 2, 1000)]
    [0, None, None, 2]
    """

    def __init__(self, settings: TimelineSettings) -> None:
        """Start with all counts at zero."""
        self._settings = settings
        self._seconds: dict[int, _Second] = {}

    def admit(self, wall: int, code: int) -> int | None:
        """Return the number of lines suppressed before this one.

        None if this one is suppressed too; `wall` is in milliseconds.
        """
        number = wall // MILLISECONDS
        second = self._seconds.setdefault(code, _Second(number))
        if second.number != number:
            second.number = number
            second.lines = 0
        if second.lines >= self._settings.lines_per_second:
            second.suppressed += 1
            return None
        suppressed = second.suppressed
        second.lines += 1
        second.suppressed = 0
        return suppressed
