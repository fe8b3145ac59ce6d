"""Split long answers into pages, so that messages don't grow with the fleet."""

from collections.abc import Iterator
from typing import Final, Protocol, TypeVar

ROW_OVERHEAD: Final = 64


class Sized(Protocol):
    """A row whose payload makes up most of its size."""

    @property
    def payload(self) -> bytes:
        """Return the payload."""


Row = TypeVar('Row', bound=Sized)


def split_into_pages(
    rows: tuple[Row, ...],
    limit: int,
) -> Iterator[tuple[Row, ...]]:
    """Yield pages of about `limit` bytes, each with one row or more."""
    page: list[Row] = []
    size = 0
    for row in rows:
        length = len(row.payload) + ROW_OVERHEAD
        if page and size + length > limit:
            yield tuple(page)
            page = []
            size = 0
        page.append(row)
        size += length
    if page:
        yield tuple(page)
