"""Loading and validation of the settings of a process."""

from pathlib import Path

from returns.result import Failure, Success

from bergamotshore.conf.loading import load_text
from bergamotshore.conf.problems import Problem
from bergamotshore.exceptions import AddressInvalidError, SettingsError
from bergamotshore.generated.settings import HINTS_BY_TYPE, Settings
from bergamotshore.utils.addresses import Address


def load_settings(text):
    """Parse and validate settings.

    :param text: YAML text.
    :returns: ``Success`` of ``Settings``, or ``Failure`` of a list of ``Problem``.
    """
    return load_text(text, Settings, HINTS_BY_TYPE).bind(_check_settings)


def read_settings(path):
    """Read and validate the settings file of a process.

    :param path: Path of the file.
    :returns: ``Settings``.
    :raises SettingsError: when the file can not be read or is invalid.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError([Problem("conf.E000", str(path), 0, str(error))]) from None
    match load_settings(text):
        case Success(settings):
            return settings
        case Failure(problems):
            raise SettingsError(problems)


def _check_settings(settings):
    problems = (
        _check_role(settings) + _check_stream(settings) + _check_addresses(settings)
    )
    return Failure(problems) if problems else Success(settings)


def _check_role(settings):
    if (settings.entry is None) == (settings.node is None):
        return [
            Problem(
                "settings.E010",
                "entry",
                0,
                "settings need exactly one of the sections 'entry' and 'node'",
                "keep the section of the role that this process runs",
            )
        ]
    return []


def _check_stream(settings):
    stream = settings.stream
    problems = []
    if stream.silence_min < 2 * stream.heartbeat:
        problems.append(
            Problem(
                "settings.E011",
                "stream.silence_min",
                0,
                "silence_min is shorter than two heartbeat intervals",
                "raise it: a single late heartbeat would close the stream",
            )
        )
    if stream.silence_max < stream.silence_min:
        problems.append(
            Problem(
                "settings.E012",
                "stream.silence_max",
                0,
                "silence_max is shorter than silence_min; raise it",
            )
        )
    return problems


def _check_addresses(settings):
    address_by_path = {
        "platform.table": settings.platform.table,
        "platform.objects": settings.platform.objects,
    }
    if settings.entry is not None:
        for name in ("callers", "operators", "nodes", "nodes_advertised"):
            address_by_path[f"entry.{name}"] = getattr(settings.entry, name)
    if settings.node is not None:
        for name in ("endpoint", "worker"):
            address_by_path[f"node.{name}"] = getattr(settings.node, name)
        for index, address in enumerate(settings.node.entries):
            address_by_path[f"node.entries.{index}"] = address
    if settings.site is not None:
        # Peers may be outdated, so an invalid one is left out when they are used.
        for name in ("ready", "heartbeats", "metrics", "advice", "machines"):
            address_by_path[f"site.{name}"] = getattr(settings.site, name)
    return [
        Problem(
            "settings.E013",
            path,
            0,
            f"{address!r} is not a valid address",
            "use IP:port",
        )
        for path, address in address_by_path.items()
        if address and not is_address(address)
    ]


def is_address(text):
    """Return whether a text is an IPv4 address and a port, as IP:port."""
    try:
        Address(text)
    except AddressInvalidError:
        return False
    return True
