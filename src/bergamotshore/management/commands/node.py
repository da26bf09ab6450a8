"""Run the node role."""

from bergamotshore.conf.logs import start_logs
from bergamotshore.conf.problems import Problem
from bergamotshore.conf.settings import read_settings
from bergamotshore.exceptions import SettingsError
from bergamotshore.management import exitcodes


def add_arguments(parser):
    """Add the arguments of this command."""
    parser.add_argument("settings", help="settings file of the process")


def handle(options):
    """Run until the process is told to stop."""
    settings = read_settings(options.settings)
    if settings.node is None:
        raise SettingsError(
            [Problem("settings.E014", "node", 0, "these settings are for an entry")]
        )
    start_logs(settings)
    from bergamotshore.node.role import NodeRole

    NodeRole(settings).run()
    return exitcodes.DONE
