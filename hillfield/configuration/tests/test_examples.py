"""The examples of both users as the demo uses them."""

import tomllib
from asyncio import run
from pathlib import Path

from hillfield.configuration.documents.files import read_configuration
from hillfield.configuration.entries import Entry
from hillfield.configuration.serving.replica import Replica
from hillfield.configuration.serving.view import ConfigurationView
from hillfield.configuration.editing import Authorship, Editor
from hillfield.emulator.store_memory import MemoryStore
from hillfield.proxy.ports import RequestHead

EXAMPLES = Path(__file__).parents[3] / 'examples'


def make_view() -> ConfigurationView:
    store = MemoryStore(clock=float)
    configuration = read_configuration(EXAMPLES).ok
    editor = Editor(store, 'test')
    assert run(editor.apply(configuration, Authorship('anna'))).is_ok()
    replica = Replica('test')
    page = run(store.read_range('/hillfield/test/', '', 100)).ok
    for found in page.entries:
        replica.adopt(Entry(found.key, found.revision, found.payload))
    replica.mark_complete()
    return ConfigurationView(replica)


def test_examples_hold_together_and_every_caller_finds_its_plan():
    view = make_view()
    callers = [
        caller
        for path in EXAMPLES.rglob('callers.toml')
        for caller in tomllib.loads(path.read_text('utf-8'))['caller']
    ]
    assert len(callers) == 7
    for caller in callers:
        for kind in caller['kind']:
            plan = view.resolve(
                RequestHead(
                    kind['method'],
                    kind['path'],
                    caller['account'],
                    caller['secret'],
                ),
            ).ok
            assert plan.service == kind['service']
            assert plan.idempotent is kind['idempotent']


def test_users_lean_opposite_ways():
    view = make_view()
    costs = {
        service: policy.late_detection_cost
        for service in view.services()
        if (policy := view.policy(service))
    }
    for service in ('terminal-gateway', 'settlement'):
        assert costs.pop(service) > 1
    assert set(costs) == {'search-claims', 'returns-dispatch'}
    assert max(costs.values()) < 1
