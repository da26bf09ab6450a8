"""Run the entry role."""

from bergamotshore.conf.logs import configure_logging
from bergamotshore.conf.problems import Problem
from bergamotshore.conf.settings import read_settings
from bergamotshore.exceptions import SettingsError
from bergamotshore.management import exitcodes
from bergamotshore.utils.heap import return_large_blocks


def add_arguments(parser):
    """Add the arguments of this command."""
    parser.add_argument("settings", help="path of the settings file")


def handle(options):
    """Run the role until a signal stops the process."""
    settings = read_settings(options.settings)
    if settings.entry is None:
        raise SettingsError(
            [
                Problem(
                    "settings.E014",
                    "entry",
                    0,
                    "these are settings of a node; run 'bergamotshore node'",
                )
            ]
        )
    configure_logging(settings)
    return_large_blocks()
    is_success = _build_role(settings, options.settings).run()
    return exitcodes.DONE if is_success else exitcodes.FAILED


def _build_role(settings, path):
    """Return the role object, importing only the modules that it needs."""
    if settings.site is not None:
        from bergamotshore.entry.site import SiteEntryRole

        return SiteEntryRole(settings, path)
    from bergamotshore.entry.role import EntryRole

    return EntryRole(settings)
