"""Reloading of the settings file, on a change of the file or on a signal."""

from pathlib import Path

from bergamotshore.conf.settings import load_settings

# Interval between two checks of the file, in seconds; a signal requests one at once.
RELOAD_CHECK_SECONDS = 2.0


class SettingsWatcher:
    """Reload the settings file when it changes and apply the new settings.

    When the file can not be read or is invalid, the present settings stay in force.

    :param path: Path of the file.
    :param clock: ``Clock``.
    :param log: ``EventLog``.
    :param apply: Called with the new ``Settings``.
    """

    def __init__(self, path, clock, log, apply):
        self._path = Path(path)
        self._clock = clock
        self._log = log
        self._apply = apply
        self._text = self._read()
        self._next_poll = clock.now() + RELOAD_CHECK_SECONDS
        self._is_reload_requested = False

    def request_reload(self):
        """Request a reload by the next ``step``; safe to call from a signal handler."""
        self._is_reload_requested = True

    def step(self):
        """Check the file if a check is due or a reload was requested."""
        if not self._is_reload_requested and self._clock.now() < self._next_poll:
            return
        is_requested, self._is_reload_requested = self._is_reload_requested, False
        self._next_poll = self._clock.now() + RELOAD_CHECK_SECONDS
        text = self._read()
        if text is None or (text == self._text and not is_requested):
            return
        self._text = text
        outcome = load_settings(text)
        settings = outcome.value_or(None)
        if settings is None:
            problems = "; ".join(str(problem) for problem in outcome.failure())
            self._log.write("reload-refused", self._path.name, problems=problems)
            return
        self._apply(settings)
        self._log.write("reload", self._path.name, signal=is_requested)

    def _read(self):
        try:
            return self._path.read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as error:
            self._log.write("reload-failed", self._path.name, why=repr(error))
            return None
