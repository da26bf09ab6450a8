"""Validation problems of settings and configuration documents."""

from dataclasses import asdict, dataclass


@dataclass(frozen=True, slots=True)
class Problem:
    """A validation problem and its location.

    :param id: Stable identifier, such as ``conf.E002``.
    :param path: Path into the document, such as ``teams.books.jobs``.
    :param line: Line number, counted from 1; 0 when unknown.
    :param message: What is wrong.
    :param hint: How to correct it.
    """

    id: str
    path: str
    line: int
    message: str
    hint: str = ""

    def __str__(self):
        location = f"line {self.line}: " if self.line else ""
        hint = f" (hint: {self.hint})" if self.hint else ""
        return f"{location}{self.path}: {self.message} [{self.id}]{hint}"

    def to_builtins(self):
        """Return the problem as a dictionary that can be encoded as JSON."""
        return asdict(self)
