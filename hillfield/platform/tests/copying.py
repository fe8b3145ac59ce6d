"""A target that refuses or fails some requests first, and says so twice."""

from tornado.httputil import HTTPHeaders

from hillfield.platform.tests.standin_target import (
    StandInTarget,
    TargetHandler,
    find_stream,
)

# Paths that contain this are failed at their first arrival at each target.
FAILED_FIRST = 'first'


class CopyingHandler(TargetHandler):
    """Send each failure once more before the next answer on its connection."""

    async def prepare(self):
        target = self.target
        stream = find_stream(self.request)
        copy = target.copies.pop(stream, b'')
        if copy:
            await stream.write(copy)
        name = self.request.headers.get('X-Request-Id', '')
        is_meant = FAILED_FIRST in self.request.path
        if is_meant and name not in target.failed:
            target.failed.add(name)
            target.note_arrival(self.request)
            target.copies[stream] = self._fail(name)
        else:
            await super().prepare()

    def _fail(self, name):
        """Send the failure; return the same bytes for the second time."""
        status = self.target.failure
        fields = HTTPHeaders({'X-Request-Id': name})
        fields['X-Server-Signature'] = 'first'
        if status == 503:
            fields['X-Not-Executed'] = '1'
        self.set_status(status)
        for field in fields:
            self.set_header(field, fields[field])
        self.finish()
        fields['Content-Length'] = '0'
        head = f'HTTP/1.1 {status} Failed\n{fields}\n'
        return head.replace('\n', '\r\n').encode()


class CopyingTarget(StandInTarget):
    """Answer some requests with the status `failure` first, and do so twice."""

    answering = CopyingHandler

    def __init__(self, address, service, name):
        super().__init__(address, service, name)
        self.failure = 503
        self.failed = set()
        self.copies = {}
