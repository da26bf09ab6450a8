"""Reading of configuration documents from files."""

from pathlib import Path

import msgspec
import yaml
from returns.result import Failure, Success

from bergamotshore.conf.document import RESERVED_TEAM, load_document
from bergamotshore.conf.problems import Problem
from bergamotshore.exceptions import SettingsError


def read_text(path):
    """Return the text of a file.

    :raises SettingsError: when it can not be read.
    """
    try:
        return Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError([Problem("conf.E000", str(path), 0, str(error))]) from None


def load_file(path):
    """Return the validated ``Document`` of a file.

    :raises SettingsError: when the file can not be read or is invalid.
    """
    match load_document(read_text(path)):
        case Success(document):
            return document
        case Failure(problems):
            raise SettingsError(problems)


def read_document(path, team):
    """Return the bytes of a document, or of one section of it.

    :param team: Name of a team, 'site', or empty for the whole document.
    :raises SettingsError: when the document is invalid or the section is missing.
    """
    document = load_file(path)
    if not team:
        return read_text(path).encode()
    complete = msgspec.to_builtins(document)
    if team == RESERVED_TEAM and document.site is not None:
        return dump_yaml({"site": complete["site"]}).encode()
    if team in document.teams:
        return dump_yaml({"teams": {team: complete["teams"][team]}}).encode()
    raise SettingsError(
        [
            Problem(
                "document.E107",
                f"teams.{team}",
                0,
                "the document has no section of this name; check --team",
            )
        ]
    )


def dump_yaml(value):
    """Return a value as YAML text."""
    return yaml.safe_dump(value, sort_keys=False, allow_unicode=True)
