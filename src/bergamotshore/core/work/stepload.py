"""Own load of the latency-critical tasks of one step, followed with its trend."""

from dataclasses import dataclass

# Load assumed before the first measurement, and the variances of this guess and of the
# trend, which is per second.
DEFAULT_LOAD = 0.5
DEFAULT_VARIANCE = 0.04
DEFAULT_TREND_VARIANCE = 0.01
# Variance by which the trend may change in a second: loads swing within seconds.
TREND_NOISE = 0.01
# Variance by which the load itself may change in a second, beside its trend.
LEVEL_NOISE = 0.001
# A trend says little about a time further ahead than this, in seconds.
MAX_FORECAST_SECONDS = 1.5
# Time constant of the average load, in seconds; a shorter history is averaged whole.
MEAN_SECONDS = 16.0


@dataclass(slots=True)
class StepLoad:
    """Kalman filter of a load and its trend.

    :param level: Load at ``at``, 0 to 1.
    :param trend: Change of the load per second.
    :param variance: Variance of the level.
    :param covariance: Covariance of level and trend.
    :param trend_variance: Variance of the trend.
    :param at: Time of the latest measurement, in seconds; None before the first.
    :param began_at: Time of the first measurement, in seconds.
    :param mean_level: Average load over some seconds.
    """

    level: float = DEFAULT_LOAD
    trend: float = 0.0
    variance: float = DEFAULT_VARIANCE
    covariance: float = 0.0
    trend_variance: float = DEFAULT_TREND_VARIANCE
    at: float | None = None
    began_at: float = 0.0
    mean_level: float = DEFAULT_LOAD

    def predict(self, at):
        """Advance the filter to the time of a measurement, unless that is earlier."""
        if self.at is None:
            self.at = self.began_at = at
        seconds = at - self.at
        if seconds <= 0.0:
            return
        self.at = at
        self.level += self.trend * min(seconds, MAX_FORECAST_SECONDS)
        self.variance += (
            2 * seconds * self.covariance
            + seconds**2 * self.trend_variance
            + LEVEL_NOISE * seconds
        )
        self.covariance += seconds * self.trend_variance
        self.trend_variance += TREND_NOISE * seconds
        weight = seconds / min(MEAN_SECONDS, at - self.began_at)
        self.mean_level += min(1.0, weight) * (self.level - self.mean_level)
        if self.variance > DEFAULT_VARIANCE:
            self._forget()

    def _forget(self):
        """Fall back to the initial uncertainty after a long time without figures."""
        self.trend = self.covariance = 0.0
        self.variance = DEFAULT_VARIANCE
        self.trend_variance = DEFAULT_TREND_VARIANCE

    def correct(self, error, variance):
        """Apply the error of a prediction.

        :param error: Measured load less predicted load.
        :param variance: Variance of this error.
        """
        gain = self.variance / variance
        trend_gain = self.covariance / variance
        self.level = min(1.0, max(0.0, self.level + gain * error))
        self.trend += trend_gain * error
        self.trend_variance -= trend_gain * self.covariance
        self.covariance *= 1.0 - gain
        self.variance *= 1.0 - gain

    def forecast(self, at):
        """Return the load expected at a time."""
        seconds = 0.0 if self.at is None else max(0.0, at - self.at)
        level = self.level + self.trend * min(seconds, MAX_FORECAST_SECONDS)
        return min(1.0, max(0.0, level))
