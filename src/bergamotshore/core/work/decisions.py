"""One complete planning pass: starts, stops, throttles and speculative copies."""

from dataclasses import dataclass, field

from bergamotshore.core.work.evictions import plan_evictions
from bergamotshore.core.work.pacing import plan_throttling
from bergamotshore.core.work.planner import plan_copies, plan_starts
from bergamotshore.core.work.preemption import plan_preemptions
from bergamotshore.core.work.relocation import plan_relocations
from bergamotshore.core.work.stops import plan_stops
from bergamotshore.core.work.waiting import list_waiting


@dataclass(slots=True)
class Plan:
    """Result of a planning pass.

    Claims for starts and copies are not listed here but recorded in the cluster state.

    :param stops: List of ``StopRun``.
    :param paces: List of throttle changes, see ``plan_throttling``.
    :param questions: List of ``AdviceQuery`` for the advice service.
    :param copies: List of triples of ``LateRun``, worker of the copy, and
        ``Allocation`` of the copy.
    """

    stops: list = field(default_factory=list)
    paces: list = field(default_factory=list)
    questions: list = field(default_factory=list)
    copies: list = field(default_factory=list)


def make_plan(view, may_start, is_full_scan):
    """Return the ``Plan`` for a view.

    :param view: ``PlanView``.
    :param may_start: Whether this entry may still start new runs.
    :param is_full_scan: Whether to scan all runs for those that are unwanted, late
        or to be preempted. The scan is more expensive than the rest, and its findings
        can wait for the next scan.
    """
    plan = Plan(paces=plan_throttling(view))
    if is_full_scan:
        plan.stops += plan_stops(view)
    if not may_start:
        return plan
    waiting = list_waiting(view)
    _, plan.questions = plan_starts(view, waiting)
    if is_full_scan:
        plan.stops += plan_evictions(view, view.is_urgent_by_draining_node)
        plan.stops += plan_preemptions(view)
        plan.stops += plan_relocations(view)
        plan.copies = plan_copies(view, waiting)
    return plan
