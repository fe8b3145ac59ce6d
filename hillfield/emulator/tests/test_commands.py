"""The emulator's commands: how they end, and what they tell."""

import json
import subprocess
import sys

import pytest
from typer.testing import CliRunner, Result

from hillfield.cli.application import application

LOAD = """
nodes = ['{address}']
rate = 200
maximum_calls = 5
timeout = 2

[[kinds]]
service = 'settlement'
method = 'GET'
path = '/fees'
idempotent = true
"""
COMMAND = (sys.executable, '-m', 'hillfield', 'emulator')


@pytest.fixture
def target_address():
    """Run a target as its users do, and end it politely."""
    target = subprocess.Popen(
        (*COMMAND, 'target', '--service', 'settlement'),
        stdout=subprocess.PIPE,
        text=True,
    )
    printed = target.stdout
    assert printed is not None
    yield printed.readline().strip()
    target.terminate()
    printed.close()
    assert target.wait(20) == 0


def test_caller_is_answered_by_a_target_and_ends(tmp_path, target_address):
    load = tmp_path / 'load.toml'
    load.write_text(LOAD.format(address=target_address))
    caller = (*COMMAND, 'caller', str(load), '--json')
    shown = subprocess.run(caller, check=True, capture_output=True, timeout=20)
    calls = json.loads(shown.stdout)
    assert len(calls) == 5
    assert {each['ending'] for each in calls} == {'answered'}


def call(*words: str) -> Result:
    return CliRunner().invoke(application, ('emulator', *words))


@pytest.mark.parametrize(
    ('words', 'told'),
    [
        (('target', '--service', 's', '--behaviour', '{"slwo": 2}'), 'slwo'),
        (('target', '--service', 's', '--listen', 'here:1'), 'here'),
        (('target', '--service', 's', '--set', 'speed=9'), 'speed'),
        (('store', '--listen', 'here:1'), 'here'),
        (('caller', '/nowhere/load.toml'), 'load.toml'),
    ],
)
def test_wrong_use_is_told_and_ends_so(words, told):
    shown = call(*words)
    assert shown.exit_code == 2, shown.output
    assert told in shown.stderr


def test_load_that_is_no_toml_is_told(tmp_path):
    load = tmp_path / 'load.toml'
    load.write_text('nodes = [')
    shown = call('caller', str(load))
    assert shown.exit_code == 2
    assert 'not valid TOML' in shown.stderr
