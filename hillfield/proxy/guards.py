"""Handling of an unexpected error within its own request."""

from collections.abc import Callable


def run_guarded(
    action: Callable[[], None],
    on_error: Callable[[Exception], None],
) -> None:
    """Run the action; pass an error to a function that can answer the caller.

    >>> run_guarded(lambda: None, print)
    """
    try:
        action()
    except Exception as error:
        on_error(error)
