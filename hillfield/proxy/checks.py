"""Checks for wrong answers."""

from hillfield.model import AnswerChecks


def check_head(
    checks: AnswerChecks,
    status: int,
    has_header: bool,
) -> str:
    """Return why the answer's head is wrong, or an empty string.

    >>> check_head(AnswerChecks(), 500, has_header=True)
    'status 500'
    >>> check_head(AnswerChecks(), 200, has_header=True)
    ''
    """
    if status in checks.wrong_statuses:
        return f'status {status}'
    if checks.required_header and not has_header:
        return f'no {checks.required_header} header'
    return ''


def check_body(
    checks: AnswerChecks,
    part: bytes,
    size: int | None,
) -> str:
    """Return why the answer's first part is wrong, or an empty string.

    `size` is that of the complete body; None if it isn't known yet.

    >>> checks = AnswerChecks(minimum_length=3, required_prefix=b'ab')
    >>> check_body(checks, b'ab', 2)
    'body of 2 bytes'
    >>> check_body(checks, b'xyz', None)
    'body without the required prefix'
    """
    if size is not None and size < checks.minimum_length:
        return f'body of {size} bytes'
    if not part.startswith(checks.required_prefix):
        return 'body without the required prefix'
    return ''
