"""Commands that ask nodes, against a small server of fixed pages."""

from collections.abc import Iterator
from contextlib import contextmanager
from threading import Event, Thread
from typing import Any

import pytest
from msgspec.json import decode, encode
from tornado.httpserver import HTTPServer
from tornado.ioloop import IOLoop
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler
from typer import Typer
from typer.testing import CliRunner

from hillfield.cli.explain import explain_service
from hillfield.cli.load import show_load
from hillfield.cli.settings import commands
from hillfield.cli.targets import show_targets
from hillfield.cli.timeline import show_timeline
from hillfield.control import (
    ErrorPage,
    FieldProblem,
    MemberPage,
    MembersPage,
    ServicePage,
    TargetPage,
    TargetReport,
    TargetsPage,
)
from hillfield.control.loadpages import DomainLoad, LoadPage, ServiceLoad
from hillfield.events import Stamp, TimelineEntry

APPLICATION = Typer()
APPLICATION.command('explain')(explain_service)
APPLICATION.command('load')(show_load)
APPLICATION.command('targets')(show_targets)
APPLICATION.command('timeline')(show_timeline)
APPLICATION.add_typer(commands, name='settings')
# Nothing listens at port 1 of loopback.
SILENT = '127.0.0.1:1'
TARGET = TargetPage(
    'search', '127.0.0.1:81', 5, 'ready', 'r', 'a', 'h1', 3, 9, 1
)
REPORT = TargetReport(
    'search@127.0.0.1:81#5', 'ejected', 2, False, 0, 'slow x9', 'slow'
)


def make_entry(physical: int, node: str, event: str) -> TimelineEntry:
    return TimelineEntry(Stamp(physical, 0), node, 1, event, 'info')


class Pages(RequestHandler):
    def initialize(self, pages: dict[str, Any]) -> None:
        self.pages = pages

    def get(self) -> None:
        path, uri = self.request.path, self.request.uri
        page = self.pages.get(uri, self.pages.get(path))
        if page is None:
            page = ErrorPage(
                'unknown', 'GET', '', 0, (FieldProblem('path', 'x', 'mend it'),)
            )
            self.set_status(404)
        self.finish(encode(page))


class PageServer(Thread):
    """Serve pages from a thread, since the commands run their own loop."""

    def __init__(self, pages: dict[str, Any]) -> None:
        super().__init__()
        self.pages = pages
        self.ready = Event()

    def run(self) -> None:
        self.loop = IOLoop()
        server = HTTPServer(Application([('.*', Pages, {'pages': self.pages})]))
        sockets = bind_sockets(0, '127.0.0.1')
        server.add_sockets(sockets)
        self.port = sockets[0].getsockname()[1]
        self.loop.add_callback(self.ready.set)
        self.loop.start()
        server.stop()
        self.loop.run_sync(server.close_all_connections)
        self.loop.close()


@contextmanager
def serve(pages: dict[str, Any]) -> Iterator[str]:
    server = PageServer(pages)
    server.start()
    server.ready.wait()
    yield f'127.0.0.1:{server.port}'
    server.loop.add_callback(server.loop.stop)
    server.join()


def call(*arguments: str) -> Any:
    return CliRunner().invoke(APPLICATION, arguments)


def test_merges_the_time_lines_of_the_fleet():
    later = make_entry(2, 'n1', 'SECOND')
    with serve({'/v1/timeline': (later,)}) as other:
        member = MemberPage('n1', True, 'serving', other, 'r', 'a', 'h')
        pages = {
            '/v1/members': MembersPage('n2', (member,)),
            '/v1/timeline': (
                make_entry(1, 'n2', 'FIRST'),
                make_entry(3, 'n2', 'THIRD'),
            ),
        }
        with serve(pages) as node:
            shown = call('timeline', '--node', node, '--fleet')
            listed = call('timeline', '--node', node, '--fleet', '--json')
    assert shown.exit_code == 0
    assert [line.split()[5] for line in shown.stdout.splitlines()] == [
        'FIRST',
        'SECOND',
        'THIRD',
    ]
    assert [entry['event'] for entry in decode(listed.stdout)] == [
        'FIRST',
        'SECOND',
        'THIRD',
    ]


def test_shows_what_could_be_had_and_says_what_could_not():
    with serve({'/v1/timeline': (make_entry(1, 'n1', 'FIRST'),)}) as node:
        shown = call('timeline', '--node', node, '--node', SILENT)
    assert shown.exit_code == 4
    assert 'FIRST' in shown.stdout
    assert SILENT in shown.stderr


def test_names_a_node_out_of_reach_once():
    shown = call('timeline', '--node', SILENT, '--fleet')
    assert (shown.exit_code, shown.stderr.count(SILENT)) == (4, 1)


def test_lists_targets_of_the_first_node_that_answers():
    page = TargetsPage('n1', (TARGET,), (TARGET,))
    empty = TargetsPage('n1', (), ())
    pages = {
        '/v1/targets?service=': page,
        '/v1/targets?service=claims': empty,
    }
    with serve(pages) as node:
        shown = call('targets', '--node', SILENT, '--node', node)
        listed = call('targets', '--node', node, '--json')
        none = call('targets', '--node', node, '--service', 'claims', '--json')
    assert shown.exit_code == 0
    assert len(shown.stdout.splitlines()) == 2
    assert '127.0.0.1:81' in shown.stdout
    assert decode(listed.stdout) == decode(encode([TARGET]))
    assert decode(none.stdout) == []


def test_explains_a_service():
    page = ServicePage('n1', 'search', 0.5, 6, 3, 0, (REPORT,))
    with serve({'/v1/explain/search': page}) as node:
        shown = call('explain', 'search', '--node', node)
        listed = call('explain', 'search', '--node', node, '--json')
        missing = call('explain', 'claims', '--node', node)
    assert '3 of 6 slots in rotation, floor 50%' in shown.stdout
    assert 'slow x9' in shown.stdout
    assert decode(listed.stdout) == decode(encode([page]))
    assert missing.exit_code == 1
    assert 'path: found x: mend it' in missing.stderr


@pytest.mark.parametrize(
    ('arguments', 'code', 'text'),
    [
        (('targets', '--node', SILENT), 4, SILENT),
        (('targets', '--node', 'localhost:1'), 2, '--node'),
        (('targets',), 2, '--node'),
        (('explain', 'search', '--node', SILENT), 4, SILENT),
        (('timeline', '--node', SILENT, '--since', 'noon'), 2, '--since'),
        (('timeline', '--node', SILENT, '--limit', '0'), 2, '--limit'),
        (('settings', 'check', '/no/such/file'), 1, '/no/such/file'),
    ],
)
def test_tells_on_standard_error_what_is_wrong(arguments, code, text):
    shown = call(*arguments)
    assert shown.exit_code == code
    assert text in shown.stderr
    assert not shown.stdout.strip()


def test_settings_check_in_json(tmp_path):
    path = tmp_path / 'node.toml'
    path.write_text("name = ''\n")
    shown = call('settings', 'check', str(path), '--json')
    assert shown.exit_code == 1
    page = decode(shown.stdout)
    assert page['accepted'] is False
    assert 'name' in {problem['field'] for problem in page['problems']}


def test_load_shows_each_failure_domain_of_a_service():
    domain = DomainLoad('a', 2, 8, 1, 3, 1, 0.5)
    load = ServiceLoad('search', 4, 7, 90, 2, 1, 0, 3, (domain,))
    with serve({'/v1/load': LoadPage('n1', (load,))}) as node:
        shown = call('load', '--node', node)
    assert shown.exit_code == 0
    assert '4 wait here, 7 at targets, 2 of 90 refused' in shown.output
    assert '3 targets have told nothing' in shown.output


def test_load_of_a_node_that_nobody_asks():
    with serve({'/v1/load': LoadPage('n1', ())}) as node:
        shown = call('load', '--node', node)
    assert 'no service has been asked for' in shown.output


def test_load_shows_what_targets_with_limits_take_together():
    domain = DomainLoad('a', 2, 8, 1, 3, 1, 0.5, 2, 5.4)
    load = ServiceLoad('search', 4, 7, 90, 2, 1, 0, 3, (domain,))
    with serve({'/v1/load': LoadPage('n1', (load,))}) as node:
        shown = call('load', '--node', node)
    assert '2 (5.4/s)' in shown.output


def test_explain_shows_how_many_requests_a_target_takes():
    limited = TargetReport(REPORT.target, 'ready', 2, True, 1, '', '', rate=2.4)
    page = ServicePage('n1', 'search', 0.5, 6, 3, 0, (REPORT, limited))
    with serve({'/v1/explain/search': page}) as node:
        shown = call('explain', 'search', '--node', node)
    assert '2.4/s' in shown.output
