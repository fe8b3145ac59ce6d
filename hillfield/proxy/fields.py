"""Header fields of a message that is about to be written."""

from collections.abc import Iterable

from tornado.httputil import HTTPHeaders, ResponseStartLine


class Fields:
    """Collect fields in order and render them at once.

    tornado's `HTTPHeaders` checks and normalises each field; these come out
    of such an object, or are the node's own, so both are done already.
    """

    def __init__(self, pairs: Iterable[tuple[str, str]] = ()) -> None:
        """Start with these names and texts."""
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
        """Take out the fields of a name, which is given as it is written."""
        self._pairs = [pair for pair in self._pairs if pair[0] != name]

    def render(self, first_line: str) -> bytes:
        """Return the bytes of a head."""
        lines = [f'{name}: {text}' for name, text in self._pairs]
        head = '\r\n'.join((first_line, *lines, '', ''))
        return head.encode('latin1')

    def to_headers(self) -> HTTPHeaders:
        """Return what tornado's connections take."""
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
