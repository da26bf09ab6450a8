"""Run the node role."""

import sys

from bergamotshore.management import exitcodes


def add_arguments(parser):
    """Add the arguments of this command."""
    parser.add_argument("settings", help="path of the settings file")


def handle(options):
    """Run the role until a signal stops the process."""
    block_unneeded_imports()
    from bergamotshore.conf.logs import configure_logging
    from bergamotshore.conf.problems import Problem
    from bergamotshore.conf.settings import read_settings
    from bergamotshore.exceptions import SettingsError

    settings = read_settings(options.settings)
    if settings.node is None:
        raise SettingsError(
            [
                Problem(
                    "settings.E014",
                    "node",
                    0,
                    "these are settings of an entry; run 'bergamotshore entry'",
                )
            ]
        )
    configure_logging(settings)
    is_success = _build_role(settings, options.settings).run()
    return exitcodes.DONE if is_success else exitcodes.FAILED


def block_unneeded_imports():
    """Block imports of optional modules that a node does not use, to save memory.

    A node may use 32 MB. ssl takes 4 MB; http.client and asyncio work without it, and
    a node speaks plain HTTP on its own machine and to the platform. yaml falls back to
    its Python parser, which is fast enough for one settings file.
    """
    for name in ("ssl", "yaml._yaml"):
        sys.modules.setdefault(name, None)


def _build_role(settings, path):
    """Return the role object, importing only the modules that it needs."""
    if settings.site is not None:
        from bergamotshore.node.site import SiteNodeRole
        from bergamotshore.utils.heap import return_large_blocks

        return_large_blocks()
        return SiteNodeRole(settings, path)
    from bergamotshore.node.role import NodeRole

    return NodeRole(settings)
