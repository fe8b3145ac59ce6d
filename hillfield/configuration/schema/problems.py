"""What is wrong with a configuration, and how to mend it."""

from msgspec import Struct


class ConfigurationProblem(Struct, frozen=True):
    """Name the place, what was found there and what to write instead.

    `place` is a path of the file system or a key of the store.
    """

    place: str
    field: str
    found: str
    fix: str

    def __str__(self) -> str:
        """Return one line for people.

        >>> str(ConfigurationProblem('a.toml', 'floor', '2', 'write 0 to 1'))
        'a.toml: floor: found 2; write 0 to 1'
        """
        return f'{self.place}: {self.field}: found {self.found}; {self.fix}'
