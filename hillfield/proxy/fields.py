"""Header fields of a message that is about to be written."""

from collections.abc import Iterable

from tornado.httputil import HTTPHeaders, ResponseStartLine


class Fields:
    """Ordered header fields that are rendered together.

    Tornado's `HTTPHeaders` validates and normalizes each field. These come
    from such an object, or from the node itself, so that is not repeated.
    """

    def __init__(self, pairs: Iterable[tuple[str, str]] = ()) -> None:
        """Start with these names and values."""
        self._pairs = list(pairs)

    def add(self, name: str, text: str) -> None:
        r"""Add a field.

        >>> fields = Fields()
        >>> fields.add('Via', '1.1 node')
        >>> fields.render('GET / HTTP/1.1')
        b'GET / HTTP/1.1\r\nVia: 1.1 node\r\n\r\n'
        """
        self._pairs.append((name, text))

    def drop(self, name: str) -> None:
        """Remove the fields of a name, given in its exact case."""
        self._pairs = [pair for pair in self._pairs if pair[0] != name]

    def render(self, first_line: str) -> bytes:
        """Return the bytes of a head."""
        lines = [f'{name}: {text}' for name, text in self._pairs]
        head = '\r\n'.join((first_line, *lines, '', ''))
        return head.encode('latin1')

    def to_headers(self) -> HTTPHeaders:
        """Return the fields as tornado's connections expect them."""
        headers = HTTPHeaders()
        for name, text in self._pairs:
            headers.add(name, text)
        return headers


def render_status(start_line: ResponseStartLine) -> str:
    r"""Return the first line of an answer.

    >>> render_status(ResponseStartLine('HTTP/1.0', 200, 'OK'))
    'HTTP/1.1 200 OK'
    >>> render_status(ResponseStartLine('HTTP/1.1', 200, 'O\rK'))
    'HTTP/1.1 200 '
    """
    reason = start_line.reason if start_line.reason.isprintable() else ''
    return f'HTTP/1.1 {start_line.code} {reason}'
