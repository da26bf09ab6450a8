"""Tests of bucket ownership and of the ramp of a reopened data centre."""

import pytest

from bergamotshore.core.jobs import get_bucket, list_buckets
from bergamotshore.core.ownership import choose_owner
from bergamotshore.core.ramp import is_admitted


def test_owner_of_a_bucket_does_not_depend_on_the_order_of_names():
    names = ["entry-1", "entry-2", "entry-3"]
    for bucket in list_buckets():
        assert choose_owner(names, bucket) == choose_owner(names[::-1], bucket)


def test_only_buckets_of_a_lost_entry_change_owner():
    names = ["entry-1", "entry-2", "entry-3"]
    for bucket in list_buckets():
        previous_owner = choose_owner(names, bucket)
        if previous_owner != "entry-3":
            assert choose_owner(names[:2], bucket) == previous_owner


@pytest.mark.parametrize("count", [2, 3, 4, 6])
def test_buckets_are_distributed_about_evenly(count):
    names = [f"entry-{number}" for number in range(1, count + 1)]
    owners = [choose_owner(names, f"{number:04x}") for number in range(4000)]
    for name in names:
        assert 0.7 < owners.count(name) * count / 4000 < 1.3


def test_buckets_of_jobs_cover_all_buckets():
    assert {get_bucket(f"t/job-{n}") for n in range(500)} == set(list_buckets())


def test_every_node_is_admitted_without_a_closure_or_after_the_ramp():
    assert is_admitted("n", None, 0.0, 20.0)
    assert is_admitted("n", 5.0, 5.0, 0.0)
    assert is_admitted("n", 5.0, 25.0, 20.0)
