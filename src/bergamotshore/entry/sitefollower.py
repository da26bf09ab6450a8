"""What the operator declared, followed row by row at one entry."""

from returns.result import Failure, Success

from bergamotshore.core.work.confirmation import get_poll_times
from bergamotshore.core.work.site import SiteState
from bergamotshore.exceptions import OperatorRowInvalid
from bergamotshore.platform import operator
from bergamotshore.ports.rows import HistoryLost

# Time from the begin of a look that failed to the next one, in seconds.
RETRY_SECONDS = 0.3
# While the store fails, a short reading finds its return; a slow store answers one in
# under 0.4 s. In seconds.
PROBE_SECONDS = 0.8


class SiteFollower:
    """Keep a ``SiteState`` current.

    :param store: ``RowStore``.
    :param clock: ``Clock``.
    :param registry: ``Registry``.
    :param log: ``EventLog``.
    :param within: Time after which a change has to be in force, in seconds.
    """

    def __init__(self, store, clock, registry, log, within):
        self.state = SiteState()
        self._times = get_poll_times(within)
        self._store = store
        self._clock = clock
        self._registry = registry
        self._log = log
        self._version = None

    def run(self, finished):
        """Follow until an event is set.

        :param finished: ``threading.Event``.
        """
        while not finished.is_set():
            began = self._clock.now()
            if not self.step():
                finished.wait(max(0.0, began + RETRY_SECONDS - self._clock.now()))

    def step(self):
        """Read or follow once.

        :returns: True when the store answered.
        """
        asked_at = self._clock.now()
        if self._version is None:
            outcome = self._store.read(operator.TABLE, "", timeout=PROBE_SECONDS)
        else:
            outcome = self._store.follow(
                operator.TABLE, self._version, self._times.wait, self._times.timeout
            )
        match outcome:
            case Success(page):
                self._take(page)
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

    def _take(self, page):
        if self._version is None:
            self._forget_absent(page)
        for row in page.rows:
            self._take_row(row)
        self._version = page.version

    def _forget_absent(self, page):
        """Take back what is gone from a whole reading."""
        keys = {row.id.key for row in page.rows}
        for zone in list(self.state.closed_zones):
            if operator.EVACUATE_PREFIX + zone not in keys:
                self._open_zone(zone)
        for number in list(self.state.wave_by_number):
            if f"{operator.WAVE_PREFIX}{number}" not in keys:
                self._forget_wave(number)

    def _forget_wave(self, number):
        if self.state.wave_by_number.pop(number, None) is not None:
            self._log.write("wave-withdrawn", number)

    def _take_row(self, row):
        key = row.id.key
        if key == operator.CONFIG_KEY and not row.is_deleted:
            self._take_configuration(row)
        elif key.startswith(operator.EVACUATE_PREFIX):
            zone = key.removeprefix(operator.EVACUATE_PREFIX)
            if row.is_deleted:
                self._open_zone(zone)
            elif zone not in self.state.closed_zones:
                self.state.closed_zones.add(zone)
                self._log.write("zone-closed", zone, version=row.version)
        elif key.startswith(operator.WAVE_PREFIX):
            self._take_wave(row)

    def _open_zone(self, zone):
        if zone in self.state.closed_zones:
            self.state.closed_zones.discard(zone)
            self._log.write("zone-opened", zone)

    def _take_configuration(self, row):
        match operator.decode_configuration(row.value):
            case Success(configuration):
                replaced = self.state.configuration.version
                if self.state.accept(configuration):
                    self._log.write(
                        "config-in-force",
                        configuration.version,
                        config=replaced,
                        age=self.state.get_age(self._clock.now()),
                    )
            case Failure(OperatorRowInvalid() as failure):
                self._registry.count("operator_rows_invalid_total")
                self._log.write("operator-row-invalid", failure.key, why=failure.detail)

    def _take_wave(self, row):
        if row.is_deleted:
            number = row.id.key.removeprefix(operator.WAVE_PREFIX)
            self._forget_wave(int(number) if number.isdigit() else None)
            return
        match operator.decode_wave(row.id.key, row.value):
            case Success(wave):
                self.state.wave_by_number[wave.number] = wave
                self._log.write("wave-asked", wave.number, machines=len(wave.machines))
            case Failure(failure):
                self._registry.count("operator_rows_invalid_total")
                self._log.write("operator-row-invalid", failure.key, why=failure.detail)
