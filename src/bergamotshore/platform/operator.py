"""Rows that the operator writes: configuration, closed data centres, waves."""

import msgspec
from returns.result import Failure, Success

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
    """Terms of the advice service; ``period_ms`` is the time for each worker named."""

    decide_ms: float = 0
    period_ms: float = 0
    valid_ms: float = 0


class WireRoute(msgspec.Struct, frozen=True):
    """A queue; ``extension`` is a factor and ``slo_ms`` a time of its objective.

    ``retries`` counts the failed runs after which a job has failed.
    """

    name: str
    host: str
    prefix: str
    service: str
    timeout_ms: float = 3000
    slo_ms: float = 0
    priority: int = 0
    retries: int = 1
    extension: float = 1.0
    advice: WireAdvice | None = None


class WireService(msgspec.Struct, frozen=True):
    """A pool of workers; with ``admission_check`` they refuse what does not fit."""

    name: str
    admission_check: bool = False
    standby: bool = False


class WireConfig(msgspec.Struct, frozen=True):
    """The whole configuration."""

    version: int
    routes: list[WireRoute] = []
    services: list[WireService] = []


class WireWave(msgspec.Struct, frozen=True):
    """A wave of upkeep; ``max_count`` machines may be down at once."""

    wave: int
    machines: list[str] = []
    duration_s: float = 0
    max_count: int = 1


def decode_configuration(content):
    """Return ``Result`` of the ``SiteConfiguration`` in a row."""
    try:
        config = msgspec.json.decode(content, type=WireConfig)
    except msgspec.MsgspecError as error:
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
    """Return ``Result`` of the ``Wave`` in a row."""
    try:
        wave = msgspec.json.decode(content, type=WireWave)
    except msgspec.MsgspecError as error:
        return Failure(OperatorRowInvalid(key, str(error)))
    return Success(
        Wave(wave.wave, tuple(wave.machines), wave.duration_s, wave.max_count)
    )


def get_wave_status_id(number):
    """Return the place of the row that tells the operator how far a wave is."""
    return RowId(STATUS_TABLE, "", f"{WAVE_PREFIX}{number}")


def encode_wave_status(is_complete):
    """Return the content of that row."""
    state = "complete" if is_complete else "active"
    return msgspec.json.encode({"state": state})
