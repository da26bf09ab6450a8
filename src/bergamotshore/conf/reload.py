"""Settings that change while a process runs, with or without a signal."""

from pathlib import Path

from bergamotshore.conf.settings import load_settings

# Time between two looks at the file, in seconds; a signal makes one at once.
RELOAD_CHECK_SECONDS = 2.0


class SettingsWatcher:
    """Read the settings file again and tell of changes.

    A file that can not be read or has problems changes nothing.

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
        self._next_look = clock.now() + RELOAD_CHECK_SECONDS
        self._is_asked = False

    def request_reload(self):
        """Look at the next step; from a signal handler."""
        self._is_asked = True

    def step(self):
        """Look at the file when it is time to."""
        if not self._is_asked and self._clock.now() < self._next_look:
            return
        is_asked, self._is_asked = self._is_asked, False
        self._next_look = self._clock.now() + RELOAD_CHECK_SECONDS
        text = self._read()
        if text is None or (text == self._text and not is_asked):
            return
        self._text = text
        outcome = load_settings(text)
        settings = outcome.value_or(None)
        if settings is None:
            problems = "; ".join(str(problem) for problem in outcome.failure())
            self._log.write("reload-refused", self._path.name, problems=problems)
            return
        self._apply(settings)
        self._log.write("reload", self._path.name, signal=is_asked)

    def _read(self):
        try:
            return self._path.read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as error:
            self._log.write("reload-failed", self._path.name, why=repr(error))
            return None
