"""The operators' page tells the truth about the settings."""

import re
import tomllib
from pathlib import Path

from msgspec import Struct
from msgspec.structs import fields

from hillfield.settings import NodeSettings
from hillfield.settings.reader import parse_settings

PAGE = Path(__file__).parents[3] / 'docs' / 'operators' / 'settings.md'


def read_page() -> str:
    return PAGE.read_text('utf-8')


def list_defaults(settings: object, prefix: str = '') -> dict[str, object]:
    """Return each field that has a default, by its dotted name."""
    found = {}
    for member in fields(settings):  # type: ignore[arg-type]
        setting = getattr(settings, member.name)
        name = prefix + member.name
        if isinstance(setting, Struct):
            found.update(list_defaults(setting, f'{name}.'))
        elif prefix or name == 'drain_bound':
            found[name] = setting
    return found


def parse_cell(text: str) -> object:
    """Return the value that a cell of the page shows, read as TOML."""
    cell = text.strip('`')
    shown = tomllib.loads(f'cell = {cell}')['cell']
    return tuple(shown) if isinstance(shown, list) else shown


def parse_example(tmp_path: Path) -> NodeSettings:
    (tmp_path / 'cluster.key').write_text('an-example-of-a-key')
    example = re.search('```toml\n(.*?)```', read_page(), re.DOTALL)
    assert example
    return parse_settings(example[1], tmp_path).ok


def test_example_is_accepted(tmp_path):
    assert parse_example(tmp_path).name == 'h12'


def test_defaults_stand_on_the_page(tmp_path):
    rows = dict(re.findall(r'\n\| `(\S+)` \| (\S+) \|', read_page()))
    for name, setting in list_defaults(parse_example(tmp_path)).items():
        if name.startswith(('locality.', 'listen.')):
            continue
        assert parse_cell(rows.pop(name)) == setting, name
    assert not rows
