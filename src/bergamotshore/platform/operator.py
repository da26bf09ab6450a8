"""Rows written by the operator: configuration, closed data centres and waves."""

import msgspec
from returns.result import Failure, Success

from bergamotshore.adapters.decoding import Amount, Count, Rank, read_json
from bergamotshore.core.work.site import (
    AdvicePolicy,
    Queue,
    ServicePool,
    SiteConfiguration,
    Wave,
)
from bergamotshore.exceptions import OperatorRowInvalid
from bergamotshore.ports.rows import RowId

TABLE = "op"
STATUS_TABLE = "status"
CONFIG_KEY = "config"
EVACUATE_PREFIX = "evacuate/"
WAVE_PREFIX = "wave/"


class WireAdvice(msgspec.Struct, frozen=True):
    """Timing of the advice service.

    ``decide_ms`` is the time of one decision, ``period_ms`` the further time for each
    worker named in the request, ``valid_ms`` the validity of a ticket.
    """

    decide_ms: Amount = 0
    period_ms: Amount = 0
    valid_ms: Amount = 0


class WireRoute(msgspec.Struct, frozen=True):
    """A queue of jobs.

    The objective of a job is ``extension`` times its critical path, plus ``slo_ms``.
    ``retries`` is the number of failed runs of a task after which its job has failed.
    ``timeout_ms`` is the time in which a caller is answered.
    """

    name: str
    host: str
    prefix: str
    service: str
    timeout_ms: Amount = 3000
    slo_ms: Amount = 0
    priority: Rank = 0
    retries: Count = 1
    extension: Amount = 1.0
    advice: WireAdvice | None = None


class WireService(msgspec.Struct, frozen=True):
    """The worker pool of a service.

    With ``admission_check``, workers refuse tasks that do not fit. ``standby`` marks a
    pool whose machines are off.
    """

    name: str
    admission_check: bool = False
    standby: bool = False


class WireConfig(msgspec.Struct, frozen=True):
    """The configuration of the site."""

    version: Count
    routes: list[WireRoute] = []
    services: list[WireService] = []


class WireWave(msgspec.Struct, frozen=True):
    """A maintenance wave; at most ``max_count`` machines may be down at once."""

    wave: Count
    machines: list[str] = []
    duration_s: Amount = 0
    max_count: Count = 1


def decode_configuration(content):
    """Return ``Result`` of the ``SiteConfiguration`` in the content of a row."""
    match read_json(content, WireConfig):
        case Success(config):
            pass
        case Failure(error):
            return Failure(OperatorRowInvalid(CONFIG_KEY, str(error)))
    queues = tuple(_decode_queue(route) for route in config.routes)
    service_by_name = {
        item.name: ServicePool(item.name, item.admission_check, item.standby)
        for item in config.services
    }
    return Success(SiteConfiguration(config.version, queues, service_by_name))


def _decode_queue(route):
    advice = route.advice
    return Queue(
        name=route.name,
        host=route.host,
        prefix=route.prefix,
        service=route.service,
        priority=route.priority,
        retries=route.retries,
        stretch=route.extension,
        slack=route.slo_ms / 1000,
        timeout=route.timeout_ms / 1000,
        advice=None
        if advice is None
        else AdvicePolicy(
            advice.decide_ms / 1000, advice.period_ms / 1000, advice.valid_ms / 1000
        ),
    )


def decode_wave(key, content):
    """Return ``Result`` of the ``Wave`` in the content of a row."""
    match read_json(content, WireWave):
        case Success(wave):
            pass
        case Failure(error):
            return Failure(OperatorRowInvalid(key, str(error)))
    return Success(
        Wave(wave.wave, tuple(wave.machines), wave.duration_s, wave.max_count)
    )


def get_wave_status_id(number):
    """Return the ``RowId`` of the status row of a wave, which the operator reads."""
    return RowId(STATUS_TABLE, "", f"{WAVE_PREFIX}{number}")


def encode_wave_status(is_complete):
    """Return the content of the status row of a wave."""
    state = "complete" if is_complete else "active"
    return msgspec.json.encode({"state": state})
