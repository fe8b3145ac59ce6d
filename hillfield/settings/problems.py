"""What is wrong with a file of settings."""

from msgspec import Struct


class SettingsProblem(Struct, frozen=True):
    """Name a field, the value that stands there, and the fix."""

    field: str
    found: str
    fix: str

    def __str__(self) -> str:
        """Return the line shown to people.

        >>> str(SettingsProblem('name', "''", 'write a name'))
        "name: found '': write a name"
        """
        return f'{self.field}: found {self.found}: {self.fix}'
