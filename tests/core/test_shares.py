"""Tests of shares among entries and of the ramp of a returned data centre."""

import pytest

from bergamotshore.core.jobs import get_bucket, list_buckets
from bergamotshore.core.ownership import choose_owner
from bergamotshore.core.ramp import is_admitted


def test_every_bucket_has_one_owner_whatever_the_order_of_names():
    names = ["entry-1", "entry-2", "entry-3"]
    for bucket in list_buckets():
        assert choose_owner(names, bucket) == choose_owner(names[::-1], bucket)


def test_only_the_buckets_of_a_lost_entry_change_hands():
    names = ["entry-1", "entry-2", "entry-3"]
    for bucket in list_buckets():
        before = choose_owner(names, bucket)
        if before != "entry-3":
            assert choose_owner(names[:2], bucket) == before


@pytest.mark.parametrize("count", [2, 3, 4, 6])
def test_buckets_are_shared_about_evenly(count):
    names = [f"entry-{number}" for number in range(1, count + 1)]
    owners = [choose_owner(names, f"{number:04x}") for number in range(4000)]
    for name in names:
        assert 0.7 < owners.count(name) * count / 4000 < 1.3


def test_every_job_has_a_bucket():
    assert {get_bucket(f"t/job-{n}") for n in range(500)} == set(list_buckets())


def test_a_data_centre_that_was_never_away_has_no_ramp():
    assert is_admitted("n", None, 0.0, 20.0)
    assert is_admitted("n", 5.0, 5.0, 0.0)
    assert is_admitted("n", 5.0, 25.0, 20.0)
