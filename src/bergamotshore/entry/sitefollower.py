"""Following the operator's rows in the store at one entry."""

from returns.result import Failure, Success

from bergamotshore.core.work.confirmation import get_poll_times
from bergamotshore.core.work.site import SiteState
from bergamotshore.exceptions import OperatorRowInvalid
from bergamotshore.platform import operator
from bergamotshore.ports.rows import HistoryLost
from bergamotshore.utils.eventlog import describe_error

# Time from the start of a failed poll to the next poll, in seconds.
RETRY_SECONDS = 0.3
# Timeout of a whole read, so that a store that recovered is found soon; a slow store
# answers one in under 0.4 s. In seconds.
PROBE_SECONDS = 0.8


class SiteFollower:
    """Keep a ``SiteState`` up to date with the operator's rows.

    :param store: ``RowStore``.
    :param clock: ``Clock``.
    :param registry: ``Registry``.
    :param log: ``EventLog``.
    :param max_delay: Longest time until a change must be in force, in seconds.
    """

    def __init__(self, store, clock, registry, log, max_delay):
        self.state = SiteState()
        self._poll_times = get_poll_times(max_delay)
        self._store = store
        self._clock = clock
        self._registry = registry
        self._log = log
        self._version = None

    def run(self, finished):
        """Poll until an event is set.

        :param finished: ``threading.Event``.
        """
        while not finished.is_set():
            started_at = self._clock.now()
            if not self.step():
                finished.wait(max(0.0, started_at + RETRY_SECONDS - self._clock.now()))

    def step(self):
        """Read the table or wait for its changes once.

        :returns: Whether the store answered.
        """
        asked_at = self._clock.now()
        if self._version is None:
            outcome = self._store.read(operator.TABLE, "", timeout=PROBE_SECONDS)
        else:
            outcome = self._store.follow(
                operator.TABLE,
                self._version,
                self._poll_times.wait,
                self._poll_times.timeout,
            )
        match outcome:
            case Success(page):
                self._apply(page)
                self.state.confirmed_at = asked_at
                return True
            case Failure(HistoryLost()):
                self._log.write("history-lost", operator.TABLE, version=self._version)
                self._version = None
                return True
            case Failure(failure):
                self._registry.count("store_failures_total", code=failure.code)
                self._log.write(
                    "store-failed",
                    "operator-rows",
                    why=str(failure),
                    seconds=self._clock.now() - asked_at,
                )
                self._version = None
                return False

    def _apply(self, page):
        if self._version is None:
            self._remove_absent(page)
        for row in page.rows:
            try:
                self._apply_row(row)
            except Exception as error:
                self._registry.count("operator_rows_invalid_total")
                self._log.write(
                    "operator-row-invalid", row.id.key, why=describe_error(error)
                )
        self._version = page.version

    def _remove_absent(self, page):
        """Remove state whose row is absent from a whole read of the table."""
        keys = {row.id.key for row in page.rows}
        for zone in list(self.state.closed_zones):
            if operator.EVACUATE_PREFIX + zone not in keys:
                self._reopen_zone(zone)
        for number in list(self.state.wave_by_number):
            if f"{operator.WAVE_PREFIX}{number}" not in keys:
                self._remove_wave(number)

    def _remove_wave(self, number):
        if self.state.wave_by_number.pop(number, None) is not None:
            self._log.write("wave-withdrawn", number)

    def _apply_row(self, row):
        key = row.id.key
        if key == operator.CONFIG_KEY and not row.is_deleted:
            self._apply_configuration(row)
        elif key.startswith(operator.EVACUATE_PREFIX):
            zone = key.removeprefix(operator.EVACUATE_PREFIX)
            if row.is_deleted:
                self._reopen_zone(zone)
            elif zone not in self.state.closed_zones:
                self.state.closed_zones.add(zone)
                self._log.write("zone-closed", zone, version=row.version)
        elif key.startswith(operator.WAVE_PREFIX):
            self._apply_wave(row)

    def _reopen_zone(self, zone):
        if zone in self.state.closed_zones:
            self.state.closed_zones.discard(zone)
            self._log.write("zone-opened", zone)

    def _apply_configuration(self, row):
        match operator.decode_configuration(row.value):
            case Success(configuration):
                previous_version = self.state.configuration.version
                if self.state.accept(configuration):
                    self._log.write(
                        "config-in-force",
                        configuration.version,
                        config=previous_version,
                        age=self.state.get_age(self._clock.now()),
                    )
            case Failure(OperatorRowInvalid() as failure):
                self._registry.count("operator_rows_invalid_total")
                self._log.write("operator-row-invalid", failure.key, why=failure.detail)

    def _apply_wave(self, row):
        if row.is_deleted:
            number = row.id.key.removeprefix(operator.WAVE_PREFIX)
            self._remove_wave(int(number) if number.isdigit() else None)
            return
        match operator.decode_wave(row.id.key, row.value):
            case Success(wave):
                self.state.wave_by_number[wave.number] = wave
                self._log.write("wave-asked", wave.number, machines=len(wave.machines))
            case Failure(failure):
                self._registry.count("operator_rows_invalid_total")
                self._log.write("operator-row-invalid", failure.key, why=failure.detail)
