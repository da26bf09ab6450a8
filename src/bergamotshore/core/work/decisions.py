"""All that is decided at one moment, from one view."""

from dataclasses import dataclass, field

from bergamotshore.core.work.evictions import plan_evictions
from bergamotshore.core.work.pacing import plan_throttling
from bergamotshore.core.work.planner import plan_copies, plan_starts
from bergamotshore.core.work.preemption import plan_preemptions
from bergamotshore.core.work.stops import plan_stops


@dataclass(slots=True)
class Plan:
    """What is to be done now; claims of starts and copies are on the board.

    :param stops: List of ``StopRun``.
    :param paces: List of paces.
    :param questions: List of ``AdviceQuery`` for the advice service.
    :param copies: Triples of ``LateRun``, worker and the ``Allocation`` of its copy.
    """

    stops: list = field(default_factory=list)
    paces: list = field(default_factory=list)
    questions: list = field(default_factory=list)
    copies: list = field(default_factory=list)


def make_plan(view, may_start, is_full_scan):
    """Return the ``Plan`` for a view.

    :param view: ``PlanView``.
    :param may_start: Whether this entry still gives new work out.
    :param is_full_scan: Whether to look through all runs for those that nobody wants, that
        are late or that stand in the way of others. A look costs more than the rest,
        and what it finds may wait until the next one.
    """
    plan = Plan(paces=plan_throttling(view))
    if is_full_scan:
        plan.stops += plan_stops(view)
    if not may_start:
        return plan
    _, plan.questions = plan_starts(view)
    if is_full_scan:
        plan.stops += plan_evictions(view, view.is_urgent_by_draining_node)
        plan.stops += plan_preemptions(view)
        plan.copies = plan_copies(view)
    return plan
