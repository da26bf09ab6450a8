"""The run manager of one node beside a worker, without entries."""

from bergamotshore.core.work.leases import RenewalGrant, get_grant_seconds
from bergamotshore.generated.messages import RunOrders
from bergamotshore.metrics.registry import Registry
from bergamotshore.node.runs import RunManager
from bergamotshore.utils.eventlog import EventLog

LONGEST_HOLD_SECONDS = 10.0


def build_run_manager(clock, runner, results):
    """Return a ``RunManager`` whose worker has answered.

    :param results: List to which each outcome of an order is added.
    """
    grant = RenewalGrant(get_grant_seconds(LONGEST_HOLD_SECONDS))
    grant.record_echo(1, clock.now())
    run_manager = RunManager(
        runner,
        grant,
        LONGEST_HOLD_SECONDS,
        clock,
        lambda: None,
        lambda *result: results.append(result),
        Registry(),
        EventLog(clock, emit=lambda line: None),
    )
    for _ in range(3):
        run_manager.hold()
    return run_manager


def order_start(run_manager):
    """Return the call that executes an order for the present life."""
    orders = RunOrders(
        epoch=1,
        echo=run_manager.clock.now(),
        born=run_manager.incarnation,
        starts=[("job.0.0.0", 1, "", "")],
        payload_by_job={"job": "payload"},
        stops=[],
        paces=[],
        acknowledged=0,
    )
    _, [(call, *arguments)] = run_manager.accept_orders(orders)
    return lambda: call(*arguments)
