"""The way of one request through the logs of several nodes."""

import json

from typer.testing import CliRunner

from hillfield.cli.application import application

RUNNER = CliRunner()
DAY = '2026-05-28T05:40:'


def write_line(second, node, request, event='REQUEST_BROKEN', logical=0):
    return json.dumps(
        {
            'time': f'{DAY}0{second}.000+00:00',
            'logical': logical,
            'node': node,
            'code': 3512,
            'request': request,
            'detail': 'reset',
            'event': event,
            'level': 'error',
        },
    )


def trace(*words, **more):
    return RUNNER.invoke(application, ('trace', *words), **more)


def test_lines_of_several_nodes_come_in_causal_order(tmp_path):
    first, second = tmp_path / 'n1.log', tmp_path / 'n2.log'
    first.write_text(
        f'{write_line(2, "n1", "abc")}\n{write_line(1, "n1", "other")}\n',
    )
    second.write_text(
        f'{write_line(1, "n2", "abc")}\n'
        f'{write_line(1, "n2", "abc", logical=1)}\n',
    )
    shown = trace('abc', str(first), str(second))
    assert shown.exit_code == 0
    nodes = [line.split()[2] for line in shown.stdout.splitlines()]
    assert nodes == ['n2', 'n2', 'n1']


def test_calls_made_for_the_request_are_shown_too():
    lines = '\n'.join(
        write_line(1, 'n1', name) for name in ('abc', 'abc.d', 'abcd')
    )
    shown = trace('abc', '--json', input=lines)
    found = [entry['request'] for entry in json.loads(shown.stdout)]
    assert sorted(found) == ['abc', 'abc.d']


def test_words_of_a_log_collector_and_cut_lines_do_no_harm():
    whole = write_line(1, 'n1', 'abc')
    cut = whole[:60]
    lines = f'  12.5 host-1 {whole}\n{cut}\nabc is no event\n'
    shown = trace('abc', input=lines)
    assert len(shown.stdout.splitlines()) == 1


def test_a_request_that_no_line_names_is_told():
    shown = trace('abc', input='')
    assert shown.exit_code == 1
    assert "no line names request 'abc'" in shown.stderr


def test_a_missing_file_is_named(tmp_path):
    shown = trace('abc', str(tmp_path / 'none.log'))
    assert shown.exit_code == 1
    assert 'none.log' in shown.stderr
