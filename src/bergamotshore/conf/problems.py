"""Problems found in settings and documents."""

from dataclasses import asdict, dataclass


@dataclass(frozen=True, slots=True)
class Problem:
    """One problem with its place.

    :param id: Stable identifier, such as ``conf.E002``.
    :param path: Path into the document, such as ``teams.books.jobs``.
    :param line: Line number from 1; 0 when unknown.
    :param message: What is wrong.
    :param hint: How to mend it.
    """

    id: str
    path: str
    line: int
    message: str
    hint: str = ""

    def __str__(self):
        place = f"line {self.line}: " if self.line else ""
        hint = f" (hint: {self.hint})" if self.hint else ""
        return f"{place}{self.path}: {self.message} [{self.id}]{hint}"

    def to_builtins(self):
        """Return the problem as a mapping for JSON."""
        return asdict(self)
