"""Conversion of YAML to dataclasses, with all problems reported at once."""

import dataclasses
import types
import typing

import msgspec
import yaml
from returns.result import Failure, Success

from bergamotshore.conf.problems import Problem

LOADER = getattr(yaml, "CSafeLoader", yaml.SafeLoader)
# Limits of one document. The largest section at the planned site size has about
# 4,000 nodes; the schema is 7 levels deep.
MAX_TEXT_BYTES = 1024 * 1024
MAX_DEPTH = 32
MAX_NODES = 50_000


@dataclasses.dataclass(slots=True)
class ValidationContext:
    """State of the validation of one document.

    :param hints_by_type: Description of each field, by type name.
    :param line_by_path: Line number of each path.
    :param problems: Problems found so far.
    """

    hints_by_type: dict
    line_by_path: dict
    problems: list

    def report(self, problem_id, path, message, hint=""):
        """Record a problem at a path."""
        line = self.line_by_path.get(path, 0)
        text = ".".join(str(part) for part in path) or "document"
        self.problems.append(Problem(problem_id, text, line, message, hint))


def load_text(text, target, hints_by_type):
    """Parse YAML text into a dataclass.

    :param text: YAML text.
    :param target: Dataclass from ``generated``.
    :param hints_by_type: Description of each field, by type name.
    :returns: ``Success`` of the object, or ``Failure`` of a list of ``Problem``.
    """
    context = ValidationContext(hints_by_type, {}, [])
    try:
        size_problem = _check_size(text)
        if size_problem is not None:
            return Failure([size_problem])
        tree = yaml.compose(text, Loader=LOADER)
        value = yaml.load(text, Loader=LOADER)
    except yaml.YAMLError as error:
        return Failure([_describe_yaml_error(error)])
    if tree is not None:
        _record_lines(tree, (), context)
    _validate(value, target, (), context)
    if context.problems:
        return Failure(context.problems)
    return Success(msgspec.convert(value, type=target))


def _check_size(text):
    """Return the limit that a text exceeds as a ``Problem``, or None.

    The limits apply to the event stream of the parser, before any object is built:
    nested aliases grow exponentially and deep nesting overflows the stack.
    """
    if len(text.encode("utf-8", "replace")) > MAX_TEXT_BYTES:
        hint = f"the limit is {MAX_TEXT_BYTES} bytes; shorten or split the document"
        return Problem("conf.E007", "document", 0, "the text is too long", hint)
    depth = nodes = 0
    for event in yaml.parse(text, Loader=LOADER):
        line = event.start_mark.line + 1
        if isinstance(event, yaml.AliasEvent):
            hint = "repeat the value instead of using an alias"
            return Problem(
                "conf.E008", "document", line, "YAML aliases are not supported", hint
            )
        depth += _get_depth_delta(event)
        nodes += isinstance(event, yaml.NodeEvent)
        if depth > MAX_DEPTH or nodes > MAX_NODES:
            hint = f"the limits are {MAX_DEPTH} levels and {MAX_NODES} YAML nodes"
            return Problem(
                "conf.E009", "document", line, "too many YAML nodes or levels", hint
            )
    return None


def _get_depth_delta(event):
    if isinstance(event, yaml.CollectionStartEvent):
        return 1
    return -1 if isinstance(event, yaml.CollectionEndEvent) else 0


def map_lines(text):
    """Return the line number of each path of a text that ``load_text`` accepted."""
    context = ValidationContext({}, {}, [])
    tree = yaml.compose(text, Loader=LOADER)
    if tree is not None:
        _record_lines(tree, (), context)
    return context.line_by_path


def _describe_yaml_error(error):
    mark = getattr(error, "problem_mark", None)
    line = mark.line + 1 if mark else 0
    message = getattr(error, "problem", None) or str(error)
    return Problem("conf.E001", "document", line, message, "correct the YAML syntax")


def _record_lines(node, path, context):
    context.line_by_path.setdefault(path, node.start_mark.line + 1)
    if isinstance(node, yaml.MappingNode):
        _record_mapping_lines(node, path, context)
    elif isinstance(node, yaml.SequenceNode):
        for index, item in enumerate(node.value):
            _record_lines(item, (*path, index), context)


def _record_mapping_lines(node, path, context):
    seen_keys = set()
    for key_node, value_node in node.value:
        field_path = (*path, key_node.value)
        context.line_by_path[field_path] = key_node.start_mark.line + 1
        if key_node.value in seen_keys:
            context.report(
                "conf.E005",
                field_path,
                "duplicate key",
                "remove or rename one of the two",
            )
        seen_keys.add(key_node.value)
        _record_lines(value_node, field_path, context)


def _validate(value, target, path, context):
    bare_type = _strip_annotation(target)
    if dataclasses.is_dataclass(bare_type):
        _validate_record(value, bare_type, path, context)
        return
    origin = typing.get_origin(bare_type)
    arguments = typing.get_args(bare_type)
    if origin in (typing.Union, types.UnionType):
        _validate_optional(value, arguments, path, context)
    elif origin is dict and isinstance(value, dict):
        for key, item in value.items():
            _validate_name(key, (*path, key), context)
            _validate(item, arguments[1], (*path, key), context)
    else:
        _validate_leaf(value, target, path, context)


def _strip_annotation(target):
    if typing.get_origin(target) is typing.Annotated:
        return typing.get_args(target)[0]
    return target


def _validate_optional(value, arguments, path, context):
    if value is None:
        return
    chosen_type = next(item for item in arguments if item is not type(None))
    _validate(value, chosen_type, path, context)


def _validate_name(key, path, context):
    if not isinstance(key, str) or not key:
        context.report(
            "conf.E006", path, "the key is empty or not a string", "put it in quotes"
        )


def _validate_leaf(value, target, path, context):
    try:
        msgspec.convert(value, type=target)
    except msgspec.ValidationError as error:
        message = str(error).split(" - at ")[0]
        context.report("conf.E003", path, message)


def _validate_record(value, target, path, context):
    if not isinstance(value, dict):
        context.report(
            "conf.E003", path, f"expected a mapping, got {type(value).__name__}"
        )
        return
    hints = context.hints_by_type.get(target.__name__, {})
    annotations = typing.get_type_hints(target, include_extras=True)
    for key in value:
        if key not in annotations:
            known = ", ".join(annotations)
            context.report(
                "conf.E002",
                (*path, key),
                "unknown field",
                f"the known fields are {known}",
            )
    for item in dataclasses.fields(target):
        field_path = (*path, item.name)
        if item.name in value:
            first_index = len(context.problems)
            _validate(value[item.name], annotations[item.name], field_path, context)
            _add_hint(context, first_index, field_path, hints.get(item.name, ""))
        elif _is_required(item):
            context.line_by_path.setdefault(
                field_path, context.line_by_path.get(path, 0)
            )
            context.report(
                "conf.E004",
                field_path,
                "missing required field",
                hints.get(item.name, ""),
            )


def _is_required(item):
    missing = dataclasses.MISSING
    return item.default is missing and item.default_factory is missing


def _add_hint(context, first_index, field_path, hint):
    text = ".".join(str(part) for part in field_path)
    for index in range(first_index, len(context.problems)):
        problem = context.problems[index]
        if problem.path == text and not problem.hint:
            context.problems[index] = dataclasses.replace(problem, hint=hint)
