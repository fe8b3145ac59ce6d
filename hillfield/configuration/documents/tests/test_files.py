"""Reading of TOML files: good ones, and each kind of bad ones."""

from pathlib import Path

import pytest
from expression import Result

from hillfield.configuration.documents.files import (
    Configuration,
    read_configuration,
)
from hillfield.configuration.schema.accounts import ServiceUse
from hillfield.configuration.schema.templates import Idempotency
from hillfield.configuration.documents.conversion import Problems

GOOD = """
schema = 1
based_on = 7

[[template]]
service = 'claims'
deadline = 2
hedge_after = 0.2
late_detection_cost = 0.5

[template.account_parameters]
deadline = {minimum = 0.5, maximum = 5}

[template.checks]
required_prefix = '{'

[[template.route]]
name = 'claim'
methods = ['POST']
path = '/claims/{item}'
idempotent = 'by-key'

[[account]]
name = 'desk-1'
secret_hashes = ['0000000000000000000000000000000000000000000000000000000000000000']
use = [{service = 'claims', deadline = 3}]
"""


def read(tmp_path: Path, text: str) -> Result[Configuration, Problems]:
    path = tmp_path / 'given.toml'
    path.write_text(text, 'utf-8')
    return read_configuration(path)


def test_good_file(tmp_path):
    configuration = read(tmp_path, GOOD).ok
    template = configuration.templates[0]
    assert configuration.based_on == 7
    assert template.route[0].idempotent is Idempotency.BY_KEY
    assert template.checks.required_prefix == b'{'
    accounts = [account.use for account in configuration.accounts]
    assert accounts == [(ServiceUse('claims', deadline=3),)]


@pytest.mark.parametrize(
    ('old', 'new', 'field', 'found', 'fix'),
    [
        ('schema = 1', 'schema = 2', 'schema', '2', 'schema = 1'),
        ('schema = 1', '', 'schema', 'nothing', 'schema = 1'),
        ('schema = 1', 'schema = true', 'schema', 'True', 'schema = 1'),
        ('schema = 1', 'a = {0}'.format('9' * 5000), 'file', '4300', 'TOML'),
        ('schema = 1', 'a = {0}'.format('[' * 5000), 'file', 'depth', 'TOML'),
        ('deadline = 2', 'deadline = "2"', 'deadline', "'2'", 'a number'),
        ("['POST']", "'POST'", 'route[0].methods', 'POST', 'a list'),
        ("idempotent = 'by-key'", "idempotent = 'x'", 'idem', 'x', 'by-key'),
        ('schema = 1', 'schema = ', 'file', 'Invalid value', 'TOML'),
        ('based_on = 7', 'based_on = true', 'based_on', 'True', 'show'),
        ('[[account]]', '[[acount]]', 'acount', 'unknown', 'account'),
        ('late_det', 'lat_det', 'lat_detection_cost', 'unknown', 'late_det'),
        ("idempotent = 'by-key'", "idempotent = 'x'", 'idempotent', 'x', ''),
        ('deadline = 2', 'deadline = "2"', 'template[0].deadline', "'2'", ''),
        ('deadline = 2', 'deadline = nan', 'deadline', 'nan', '0.001'),
        ('deadline = 2', 'deadline = 9', 'deadline', '9', '0.5 to 5'),
        ('deadline = 2', 'floor = 1.5', 'template[0]', 'floor', 'deadline'),
        ('minimum = 0.5', 'minimum = 6', 'minimum', '6', 'maximum'),
        ('/claims/{item}', 'claims', 'route[0].path', 'claims', '/'),
        ('/claims/{item}', '/a/../b', 'route[0].path', '..', '/'),
        ("['POST']", "['post']", 'methods', 'post', 'capitals'),
        ("['POST']", '[]', 'methods', 'none', 'GET'),
        ("'0000", "'s3cret", 'secret_hashes[0]', '66 char', 'secret'),
        ("'desk-1'", "'a:b'", 'account[0].name', 'a:b', 'letters'),
        ("'claims'\ndeadline", "'C'\ndeadline", 'service', 'C', 'lower-case'),
    ],
)
def test_bad_file_names_field_found_and_fix(
    tmp_path, old, new, field, found, fix
):
    assert old in GOOD
    problems = read(tmp_path, GOOD.replace(old, new, 1)).error
    assert problems[0].place.endswith('given.toml')
    assert field in problems[0].field
    assert found in problems[0].found
    assert fix in problems[0].fix


@pytest.mark.parametrize(
    'line', ["secret_hashes = 's3cret'", "secret = 's3cret'"]
)
def test_misplaced_secret_is_not_shown(tmp_path, line):
    text = f"schema = 1\n[[account]]\nname = 'desk'\n{line}\n"
    problems = read(tmp_path, text).error
    assert problems
    assert 's3cret' not in str(problems)


def test_all_problems_are_told_at_once(tmp_path):
    text = GOOD.replace('deadline = 2', 'deadline = 0\nfloor = 2')
    fields = [problem.field for problem in read(tmp_path, text).error]
    assert {'template[0].deadline', 'template[0].floor'} <= set(fields)


def test_directory_leaves_plain_secrets_out(tmp_path):
    (tmp_path / 'callers.toml').write_text('no = "configuration"', 'utf-8')
    (tmp_path / 'one.toml').write_text(GOOD, 'utf-8')
    assert len(read_configuration(tmp_path).ok.templates) == 1
    (tmp_path / 'two.toml').write_text(GOOD, 'utf-8')
    twice = read_configuration(tmp_path).error
    assert [problem.field for problem in twice] == ['template', 'account']


def test_missing_file_is_a_problem(tmp_path):
    assert read_configuration(tmp_path / 'none').error[0].field == 'file'
    assert read_configuration(tmp_path).error[0].found == 'no *.toml file'
