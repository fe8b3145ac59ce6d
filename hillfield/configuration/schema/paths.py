"""Path patterns of routes."""

from re import Match
from re import compile as compile_pattern
from string import ascii_letters, digits
from typing import Final

from msgspec import Struct

PARAMETER: Final = '{}'
REST: Final = '*'
SEGMENT: Final = compile_pattern(
    r"[A-Za-z0-9_.~!$&'()+,;=:@%-]+|\{[a-z][a-z0-9_]*\}",
)
DOTS: Final = frozenset(('.', '..'))
ENCODED: Final = compile_pattern('%([0-9A-Fa-f]{2})')
HEXADECIMAL: Final = 16
UNRESERVED: Final = frozenset(f'{ascii_letters}{digits}-._~')
# What some servers take for a slash, or decode to one before they resolve dots.
SLASHES: Final = compile_pattern(r'(?i:/|\\|%2f|%5c)')
# What ends a segment's name where servers know parameters of segments.
NAME_END: Final = compile_pattern('(?i:;|%3b)')
UNUSUAL: Final = compile_pattern(r'[%;\\]|//|/\.')


class Shape(Struct, frozen=True, order=True):
    """Say which segments of a pattern are open: the indexes in `opened`.

    Shapes sort from the most specific to the least: whole paths before
    prefixes, longer before shorter, fewer parameters before more.
    """

    has_rest: bool
    negative_length: int
    opened: tuple[int, ...]

    def render(self, segments: tuple[str, ...]) -> str | None:
        """Return the pattern that a path must have in this shape."""
        length = -self.negative_length
        if self.has_rest:
            if len(segments) <= length:
                return None
        elif len(segments) != length:
            return None
        parts = list(segments[:length])
        for index in self.opened:
            if not parts[index]:
                return None
            parts[index] = PARAMETER
        if self.has_rest:
            parts.append(REST)
        return '/'.join(parts)


class Pattern(Struct, frozen=True):
    """Hold a parsed pattern: `text` has each parameter as `{}`."""

    text: str
    first: str
    shape: Shape


def split_path(path: str) -> tuple[str, ...] | None:
    """Split a request's path; None when a target may read another one in it.

    >>> split_path('/balances/7?full=1')
    ('balances', '7')
    >>> split_path('/a/../b') is None, split_path('/a/x%2F..%2Fb') is None
    (True, True)
    >>> split_path('/%62alances;till=7/8')
    ('balances', '8')
    """
    plain = path.partition('?')[0]
    if not plain.startswith('/'):
        return None
    if UNUSUAL.search(plain) is None:
        return tuple(plain[1:].split('/'))
    segments = tuple(normalise(plain[1:]).split('/'))
    # Targets may merge slashes and resolve dots, also encoded ones, and so
    # arrive at a path of another route.
    if '' in segments[:-1] or _holds_dots(plain):
        return None
    return segments


def normalise(path: str) -> str:
    """Return the one spelling of equal paths that routes are found by.

    Encoded unreserved characters equal plain ones (RFC 3986, 6.2.2.2), and
    parameters of segments (3.3) do not name another resource.
    """
    plain = ENCODED.sub(_decode_unreserved, path)
    names = [part.partition(';')[0] for part in plain.split('/')]
    return '/'.join(names)


def parse_pattern(path: str) -> Pattern | None:
    """Parse the path of a route; None when it is malformed.

    >>> parse_pattern('/balances/{till}').text
    'balances/{}'
    >>> parse_pattern('balances') is None
    True
    """
    if not path.startswith('/'):
        return None
    parts = normalise(path[1:]).split('/')
    has_rest = parts[-1] == REST
    segments = parts[:-1] if has_rest else parts
    if path != '/' and not all(map(_is_segment, segments)):
        return None
    shape = Shape(has_rest, -len(segments), _find_opened(segments))
    text = shape.render(tuple(parts))
    if text is None:
        return None
    return Pattern(text, text.partition('/')[0], shape)


def _find_opened(segments: list[str]) -> tuple[int, ...]:
    numbered = enumerate(segments)
    return tuple(index for index, part in numbered if part.startswith('{'))


def _decode_unreserved(encoded: Match[str]) -> str:
    character = chr(int(encoded[1], HEXADECIMAL))
    return character if character in UNRESERVED else encoded[0]


def _holds_dots(plain: str) -> bool:
    decoded = ENCODED.sub(_decode_unreserved, plain)
    parts = SLASHES.split(decoded)
    return any(NAME_END.split(part)[0] in DOTS for part in parts)


def _is_segment(part: str) -> bool:
    if part in DOTS:
        return False
    return SEGMENT.fullmatch(part) is not None
