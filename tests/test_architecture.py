"""Import rules of the layers, generated code, timeline and exit codes."""

import ast
import importlib.util
import socket
from pathlib import Path

import pytest

import bergamotshore
from bergamotshore.generated.events import FIELDS_BY_KIND
from bergamotshore.generated.messages import TimelineEvent
from bergamotshore.generated.metrics import METRIC_BY_NAME
from bergamotshore.management import exitcodes
from bergamotshore.management.parser import (
    SUMMARY_BY_COMMAND,
    build_parser,
    run_command,
)
from bergamotshore.timeline.recorder import LamportClock, Recorder, merge_events

PACKAGE = Path(bergamotshore.__file__).parent
ROOT = PACKAGE.parent.parent
CORE_ALLOWED = (
    "bergamotshore.core",
    "bergamotshore.generated",
    "bergamotshore.exceptions",
)
FORBIDDEN_IN_CORE = {"time", "random", "threading", "socket", "os", "http", "loguru"}


def list_imports(path):
    tree = ast.parse(path.read_text())
    for node in ast.walk(tree):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            yield node.module


@pytest.mark.parametrize("path", sorted((PACKAGE / "core").rglob("*.py")), ids=str)
def test_core_imports_no_io_and_no_upper_layer(path):
    for name in list_imports(path):
        assert name.split(".")[0] not in FORBIDDEN_IN_CORE
        if name.startswith("bergamotshore"):
            assert name.startswith(CORE_ALLOWED)


@pytest.mark.parametrize("folder", ["ports", "adapters", "transport", "timeline"])
def test_lower_layers_do_not_import_roles(folder):
    for path in (PACKAGE / folder).glob("*.py"):
        for name in list_imports(path):
            assert not name.startswith(("bergamotshore.entry", "bergamotshore.node"))


# Fields and calls of the platform's interface; only the platform package may name them.
PLATFORM_NAMES = (
    "rows-tx",
    "rows-get",
    "rows-feed",
    "rows-parts",
    "blob-put",
    "until_ms",
    "ack_cursor",
    "checkpoint_token",
    "/run-start",
    "/run-stop",
    "/hold",
    "heartbeat_addr",
    "warmup_left_ms",
    "anti_affinity",
    "long_running",
    "mem_mb",
    "est_ms",
    "slo_ms",
    "admission_check",
    "queued_jobs",
    "X-Expect-Instance",
    "/advise",
    "period_ms",
    "/instances",
    "fleetbench",
)


def test_names_of_the_platform_interface_stay_in_the_platform_package():
    for path in PACKAGE.rglob("*.py"):
        if path.parent.name != "platform":
            text = path.read_text()
            assert [name for name in PLATFORM_NAMES if name in text] == [], path


def test_the_platform_package_imports_no_role_and_no_decision_code():
    """It may import types, ports and other adapters only."""
    allowed = (
        "bergamotshore.adapters",
        "bergamotshore.core.work.model",
        "bergamotshore.core.work.site",
        "bergamotshore.exceptions",
        "bergamotshore.ports",
    )
    for path in (PACKAGE / "platform").glob("*.py"):
        for name in list_imports(path):
            assert not name.startswith("bergamotshore") or name.startswith(allowed)


def test_the_package_imports_no_stand_ins_and_no_demo():
    for path in PACKAGE.rglob("*.py"):
        assert not any(
            name.startswith(("standins", "demo")) for name in list_imports(path)
        )


def test_generated_files_are_current():
    location = ROOT / "tools" / "generate_schema.py"
    spec = importlib.util.spec_from_file_location("generate_schema", location)
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    for path, text in module.render_all().items():
        assert path.read_text() == text, (
            f"outdated file, run make generate: {path.name}"
        )


def list_calls(method, receivers):
    """Yield the path and the AST node of each call of a method on these receivers."""
    for path in sorted(PACKAGE.rglob("*.py")):
        for node in ast.walk(ast.parse(path.read_text())):
            if not isinstance(node, ast.Call) or not isinstance(
                node.func, ast.Attribute
            ):
                continue
            receiver = ast.unparse(node.func.value).rsplit(".", 1)[-1]
            if node.func.attr == method and receiver in receivers:
                yield path, node


@pytest.mark.parametrize("method", ["count", "measure", "watch"])
def test_every_metric_is_declared_with_its_labels(method):
    calls = list(list_calls(method, {"registry", "_registry"}))
    assert calls
    for path, call in calls:
        name = ast.literal_eval(call.args[0])
        labels = {item.arg for item in call.keywords}
        assert name in METRIC_BY_NAME, path
        assert labels == set(METRIC_BY_NAME[name].labels), (path, name)


def test_every_declared_metric_is_used():
    used = {
        ast.literal_eval(call.args[0])
        for method in ("count", "measure", "watch")
        for _, call in list_calls(method, {"registry", "_registry"})
    }
    assert used == set(METRIC_BY_NAME)


def test_every_log_line_is_declared_with_its_fields():
    used = {}
    for path, call in list_calls("write", {"log", "_log"}):
        if not isinstance(call.args[0], ast.Constant):
            assert ast.unparse(call.args[0]) == "kind", path
            continue
        kind = call.args[0].value
        assert kind in FIELDS_BY_KIND, (path, kind)
        fields = {item.arg for item in call.keywords}
        assert fields <= set(FIELDS_BY_KIND[kind]), (path, kind)
        used.setdefault(kind, set()).update(fields)
    failures = {
        call.args[0].value: {"why", "detail"}
        for _, call in list_calls("_fail", {"self"})
    }
    used.update(failures)
    for path, call in list_calls("_log_answer", {"self"}):
        kind = call.args[0].value
        fields = {"config", "age", *(item.arg for item in call.keywords)}
        assert fields <= set(FIELDS_BY_KIND[kind]), (path, kind)
        used.setdefault(kind, set()).update(fields)
    assert used == {kind: set(fields) for kind, fields in FIELDS_BY_KIND.items()}


def test_every_command_has_a_summary_and_a_parser():
    commands = PACKAGE / "management" / "commands"
    names = {path.stem for path in commands.glob("*.py")} - {"__init__"}
    assert names == set(SUMMARY_BY_COMMAND)
    for name in names:
        build_parser(name)


def build_event(process, sequence, clock, subject="task/t/j/0"):
    return TimelineEvent(
        process=process,
        incarnation="i",
        sequence=sequence,
        clock=clock,
        wall=0.0,
        kind="k",
        subject=subject,
    )


def test_events_merge_in_causal_order_without_duplicates():
    cause = build_event("z", 1, 5)
    effect = build_event("a", 9, 6)
    assert merge_events([effect, cause, effect]) == [cause, effect]


def test_events_can_be_filtered_by_subject():
    events = [build_event("a", 1, 1), build_event("a", 2, 2, "config/3")]
    assert merge_events(events, "config/") == [events[1]]


def test_a_cause_is_sorted_before_its_effect(clock):
    near = Recorder("z-near", "1", LamportClock(), clock, 10)
    far = Recorder("a-far", "1", LamportClock(), clock, 10)
    near.record("sent", "r1")
    far.lamport.witness(near.lamport.tick())
    far.record("received", "r1")
    merged = merge_events(far.list_events() + near.list_events())
    assert [event.kind for event in merged] == ["sent", "received"]


def test_the_recorder_keeps_a_bounded_number_of_events(clock):
    recorder = Recorder("p", "1", LamportClock(), clock, 3)
    for number in range(5):
        recorder.record("k", str(number))
    assert [event.sequence for event in recorder.list_events()] == [3, 4, 5]


def test_an_address_in_use_is_reported_with_its_error_code(tmp_path, capsys):
    with socket.create_server(("127.0.0.1", 0)) as taken:
        port = taken.getsockname()[1]
        settings = tmp_path / "entry.yaml"
        settings.write_text(
            "name: e\nzone: z\n"
            'platform: {table: "127.0.0.1:1", objects: "127.0.0.1:1"}\n'
            f'entry: {{callers: "127.0.0.1:{port}", operators: "127.0.0.1:{port}",'
            f' nodes: "127.0.0.1:{port}"}}\n'
        )
        assert run_command(["entry", str(settings)]) == exitcodes.FAILED
    assert capsys.readouterr().err.startswith("address-in-use: 127.0.0.1")


@pytest.mark.parametrize(
    ("arguments", "code"),
    [
        (["check", "examples/tsehay.yaml"], exitcodes.DONE),
        (["check", "examples/missing.yaml"], exitcodes.PROBLEMS),
        (["check", "--settings", "examples/tsehay.yaml"], exitcodes.PROBLEMS),
        (["node", "examples/missing.yaml"], exitcodes.PROBLEMS),
        (["status", "--operators", "127.0.0.1:1"], exitcodes.UNREACHABLE),
        (
            ["apply", "examples/tsehay.yaml", "--team", "nobody"],
            exitcodes.PROBLEMS,
        ),
    ],
)
def test_commands_return_the_documented_exit_codes(monkeypatch, arguments, code):
    monkeypatch.chdir(ROOT)
    assert run_command(arguments) == code
