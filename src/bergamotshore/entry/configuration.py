"""Configuration and data-centre gates, stored in the table service."""

import threading
from dataclasses import dataclass, replace

import msgspec
from returns.result import Failure, Success

from bergamotshore.adapters.rowwrites import (
    build_write,
    create_operation_id,
    decode_row,
    write_rows,
)
from bergamotshore.conf.document import check_document
from bergamotshore.core.configuration import (
    CONFIG_KEY,
    Configuration,
    Gate,
    list_sections,
    merge_document,
    strip_version,
)
from bergamotshore.core.decoding import decode_json
from bergamotshore.core.ramp import is_admitted
from bergamotshore.exceptions import (
    Conflict,
    DecodingError,
    PlatformAnswerInvalid,
    StaleSection,
    ZoneUnknown,
)
from bergamotshore.generated.document import Document, Section, SiteSection
from bergamotshore.generated.rows import ConfigRow, GateRow, SectionRow

GATE_PREFIX = "gate/"
SECTION_PREFIX = "section/"
SITE = "site"
MAX_WRITE_ATTEMPTS = 20


@dataclass(frozen=True, slots=True)
class AcceptedEdit:
    """Result of an accepted edit.

    :param team: Owner of the section.
    :param section_version: New version of the section.
    :param config_version: New version of the whole configuration.
    """

    team: str
    section_version: int
    config_version: int


@dataclass(frozen=True, slots=True)
class NotOwner:
    """The edit changes sections of other teams.

    :param teams: Owners of those sections.
    """

    teams: list[str]
    code: str = "not-owner"


class ConfigurationStore:
    """Cache the configuration and apply edits to it; cached versions never decrease.

    :param table: ``Table``.
    :param recorder: ``Recorder``.
    :param clock: ``Clock``.
    :param ramp: Time over which a reopened data centre is filled, in seconds.
    """

    def __init__(self, table, recorder, clock, ramp):
        self._clock = clock
        self._ramp = ramp
        self._opened_at_by_zone = {}
        self._table = table
        self._recorder = recorder
        self._lock = threading.Lock()
        self.configuration = Configuration()
        self.gate_by_zone = {}
        self.is_loaded = False

    def is_usable(self, zone, node):
        """Return whether a node may be given new work."""
        return self.is_zone_open(zone) and self.configuration.is_vm_in_use(zone, node)

    def may_place(self, zone, node):
        """Return whether a node may be given new work now, ramp included."""
        opened_at = self._opened_at_by_zone.get(zone)
        return self.is_usable(zone, node) and is_admitted(
            node, opened_at, self._clock.now(), self._ramp
        )

    def _store_gate(self, gate):
        """Cache a newer gate; the caller holds the lock."""
        previous = self.gate_by_zone.get(gate.zone)
        was_closed = previous is not None and not previous.is_open
        if gate.is_open and was_closed:
            self._opened_at_by_zone[gate.zone] = self._clock.now()
        self.gate_by_zone[gate.zone] = gate

    def is_zone_open(self, zone):
        """Return whether a data centre is open; it is unless a gate closes it."""
        gate = self.gate_by_zone.get(zone)
        return gate is None or gate.is_open

    def refresh(self):
        """Read the gates and the active configuration from the table.

        :returns: ``Result`` of whether anything changed.
        """
        before = (self.configuration.version, dict(self.gate_by_zone))
        outcome = self._refresh_gates().bind(lambda _: self._refresh_sections())
        after = (self.configuration.version, self.gate_by_zone)
        return outcome.map(lambda _: before != after)

    def _refresh_gates(self):
        outcome = self._table.scan(GATE_PREFIX)
        match outcome:
            case Success(rows):
                for stored in rows:
                    self._load_gate(stored)
        return outcome

    def _load_gate(self, stored):
        match decode_row(stored, GateRow):
            case Success(GateRow() as row):
                with self._lock:
                    cached = self.gate_by_zone.get(row.zone, Gate(row.zone))
                    if stored.version <= cached.version:
                        return
                    gate = Gate(row.zone, stored.version, row.is_open)
                    self._store_gate(gate)
                self._recorder.lamport.witness(row.clock)
                state = "open" if row.is_open else "closed"
                self._recorder.record("gate-learned", f"zone/{row.zone}", state)

    def _refresh_sections(self):
        match self._read_config():
            case Success((row, row_version)):
                pass
            case failure:
                return failure
        if row.version <= self.configuration.version:
            self.is_loaded = True
            return Success(None)
        outcome = self._read_sections(row)
        match outcome:
            case Success(configuration):
                configuration = replace(configuration, row_version=row_version)
                self._activate_configuration(configuration, row.clock)
        return outcome

    def _read_config(self):
        """Return ``Result`` of the ``ConfigRow`` and its stored version."""
        return self._table.get([CONFIG_KEY]).bind(
            lambda rows: decode_row(rows[CONFIG_KEY], ConfigRow).map(
                lambda row: (
                    row or ConfigRow(version=0, versions_by_team={}),
                    rows[CONFIG_KEY].version,
                )
            )
        )

    def _read_sections(self, config_row):
        keys = [SECTION_PREFIX + team for team in sorted(config_row.versions_by_team)]
        outcome = self._table.get(keys) if keys else Success({})
        match outcome:
            case Success(row_by_key):
                return _build_configuration(config_row, row_by_key)
        return outcome

    def _activate_configuration(self, configuration, clock):
        with self._lock:
            if configuration.version <= self.configuration.version:
                return
            self.configuration = configuration
            self.is_loaded = True
        self._recorder.lamport.witness(clock)
        self._recorder.record("config-in-force", f"config/{configuration.version}")

    def apply(self, document, owner):
        """Apply the owner's section of a document.

        Sections of other teams have to match the active configuration.

        :param document: Validated ``Document``.
        :param owner: Team of the operator, or 'site'.
        :returns: ``Result`` of ``AcceptedEdit``; failures are ``StaleSection``,
            ``NotOwner``, a list of ``Problem`` and those of the platform.
        """
        outcome = Failure(Conflict(CONFIG_KEY, 0))
        for _ in range(MAX_WRITE_ATTEMPTS):
            outcome = self._apply_once(document, owner)
            match outcome:
                case Failure(Conflict()):
                    continue
            return outcome
        return outcome

    def _apply_once(self, document, owner):
        match self._read_config():
            case Success((config_row, stored_version)):
                pass
            case failure:
                return failure
        match self._read_sections(config_row):
            case Success(current):
                pass
            case failure:
                return failure
        match _choose_section(document, owner, current):
            case Success(section):
                pass
            case failure:
                return failure
        active = _get_section(current, owner)
        if active is not None and _is_already_applied(section, active):
            return Success(AcceptedEdit(owner, active.version, current.version))
        active_version = active.version if active is not None else 0
        if section.version != active_version:
            return Failure(StaleSection(owner, section.version, active_version))
        merged = _merge_section(
            current, owner, replace(section, version=active_version + 1)
        )
        problems = check_document(merge_document(merged))
        if problems:
            return Failure(problems)
        return self._write(merged, owner, config_row, stored_version)

    def _write(self, merged, owner, config_row, stored_version):
        section = _get_section(merged, owner)
        operation = create_operation_id()
        key = SECTION_PREFIX + owner
        match self._table.get([key]):
            case Success(row_by_key):
                section_version = row_by_key[key].version
            case failure:
                return failure
        section_row = SectionRow(
            team=owner,
            version=section.version,
            text=msgspec.json.encode(section).decode(),
            operation=operation,
        )
        new_config = ConfigRow(
            version=merged.version,
            versions_by_team={**config_row.versions_by_team, owner: section.version},
            operation=operation,
            clock=self._recorder.lamport.tick(),
        )
        writes = [
            build_write(CONFIG_KEY, stored_version, new_config),
            build_write(key, section_version, section_row),
        ]
        accepted = AcceptedEdit(owner, section.version, merged.version)
        outcome = write_rows(self._table, operation, [], writes)
        if isinstance(outcome, Success):
            self._recorder.record("config-accepted", f"config/{merged.version}", owner)
        return outcome.map(lambda _: accepted)

    def set_gate(self, zone, is_open, changed_by):
        """Open or close a data centre.

        :returns: ``Result`` of the ``Gate``.
        """
        site = self.configuration.site
        if site is None or zone not in site.zones:
            return Failure(ZoneUnknown(zone))
        outcome = Failure(Conflict(GATE_PREFIX + zone, 0))
        for _ in range(MAX_WRITE_ATTEMPTS):
            outcome = self._set_gate_once(zone, is_open, changed_by)
            match outcome:
                case Failure(Conflict()):
                    continue
            return outcome
        return outcome

    def _set_gate_once(self, zone, is_open, changed_by):
        key = GATE_PREFIX + zone
        match self._table.get([key]):
            case Success(row_by_key):
                stored = row_by_key[key]
            case failure:
                return failure
        row = GateRow(
            zone=zone,
            is_open=is_open,
            changed_by=changed_by,
            operation=create_operation_id(),
            clock=self._recorder.lamport.tick(),
        )
        writes = [build_write(key, stored.version, row)]
        outcome = write_rows(self._table, row.operation, [], writes)
        match outcome:
            case Success(versions):
                gate = Gate(zone, versions[key], is_open)
                with self._lock:
                    self._store_gate(gate)
                state = "brought-back" if is_open else "taken-out"
                self._recorder.record(f"zone-{state}", f"zone/{zone}", changed_by)
                return Success(gate)
        return outcome

    def list_gates(self):
        """Return the ``Gate`` of every configured data centre."""
        site = self.configuration.site
        zones = sorted(site.zones) if site is not None else []
        return [self.gate_by_zone.get(zone, Gate(zone)) for zone in zones]


def _build_configuration(config_row, row_by_key):
    site = None
    teams = {}
    for team, version in config_row.versions_by_team.items():
        match decode_row(row_by_key[SECTION_PREFIX + team], SectionRow):
            case Success(SectionRow(version=stored_section_version) as row) if (
                stored_section_version >= version
            ):
                pass
            case Failure(failure):
                return Failure(failure)
            case _:
                return Failure(PlatformAnswerInvalid(f"section {team} is missing"))
        section_type = SiteSection if team == SITE else Section
        try:
            section = decode_json(row.text, section_type)
        except DecodingError as error:
            return Failure(PlatformAnswerInvalid(f"section {team}: {error}"))
        if team == SITE:
            site = section
        else:
            teams[team] = section
    return Success(Configuration(config_row.version, site, teams))


def _choose_section(document, owner, current):
    sections = list_sections(document)
    foreign_teams = [
        team
        for team, section in sections.items()
        if team != owner and not _has_same_content(section, _get_section(current, team))
    ]
    if foreign_teams or owner not in sections:
        return Failure(NotOwner(foreign_teams or sorted(sections)))
    return Success(sections[owner])


def _get_section(configuration, team):
    if team == SITE:
        return configuration.site
    return configuration.teams.get(team)


def _has_same_content(section, active):
    return active is not None and strip_version(section) == strip_version(active)


def _is_already_applied(section, active):
    """Return whether an edit is already active, as when its response was lost."""
    return _has_same_content(section, active) and active.version - section.version in (
        0,
        1,
    )


def _merge_section(current, owner, section):
    version = current.version + 1
    if owner == SITE:
        return replace(current, version=version, site=section)
    return replace(current, version=version, teams={**current.teams, owner: section})


def build_document(configuration):
    """Return the document of a configuration.

    :returns: ``Document``.
    """
    document = merge_document(configuration)
    return Document(site=document.site, teams=document.teams)
