"""Messages between processes of two revisions, as in a rolling upgrade."""

from dataclasses import MISSING, fields
from pathlib import Path

import pytest
import yaml

from bergamotshore.generated import messages

FORMER_MESSAGES = yaml.safe_load(
    Path(__file__).with_name("former_messages.yaml").read_text()
)


# Guards against entries and nodes of two revisions that can't read each other.
@pytest.mark.parametrize("name", sorted(FORMER_MESSAGES))
def test_messages_of_a_former_revision_are_read_and_have_their_fields(name):
    field_by_name = {field.name: field for field in fields(getattr(messages, name))}
    former = set(FORMER_MESSAGES[name])
    assert former <= field_by_name.keys()
    for added in field_by_name.keys() - former:
        field = field_by_name[added]
        assert (field.default, field.default_factory) != (MISSING, MISSING), added
