"""Log lines and counters of the waits for places near data or group."""

from bergamotshore.core.work.cluster import format_task_name
from bergamotshore.core.work.model import get_job_id


def log_place_waits(place_waits, registry, log):
    """Log the begin and end of each wait since the last call, with its estimate.

    :param place_waits: ``PlaceWaits``.
    :param registry: ``Registry``.
    :param log: ``EventLog``.
    """
    for event in place_waits.pop_events():
        name = format_task_name(get_job_id(event.ref.job), event.ref)
        registry.count("place_waits_total", result=event.result)
        estimate = event.estimate
        if estimate is None:
            log.write("place-wait-unusable", name)
            continue
        log.write(
            "place-wait",
            name,
            result=event.result,
            rack=estimate.place[1],
            waited=round(event.waited, 2),
            expected=round(estimate.expected, 2),
            gain=round(estimate.gain, 2),
            ahead=round(estimate.ahead, 1),
        )
