"""Stand-in of the platform's service for VMs: lists, upkeep, and who ordered what."""

from dataclasses import dataclass

from returns.result import Failure, Success

from bergamotshore.exceptions import PlatformUnavailable, PlatformUncertain
from bergamotshore.ports.machines import UP, Machine, MachineOrderRefused
from standins.site import SERVICE

UPKEEP = "upkeep"
UPKEEP_SECONDS = 2.0


@dataclass(slots=True)
class VmState:
    """One VM.

    :param runner: ``RunnerStandIn`` that stands for its worker.
    :param state: As listed.
    :param back_at: When an upkeep is over, in seconds.
    """

    runner: object
    state: str = UP
    back_at: float = 0.0


class MachinesStandIn:
    """VMs of some workers; ``faults`` lists what the next orders suffer.

    Faults are 'ok', 'down' (nothing done) and 'lost' (done, answer lost).

    :param runner_by_node: ``RunnerStandIn`` by node; a worker's VM never changes.
    """

    def __init__(self, clock, runner_by_node, ledger):
        self.clock = clock
        self.ledger = ledger
        self.vm_by_name = {
            runner.machine: VmState(runner) for runner in runner_by_node.values()
        }
        self.machines_by_wave = {}
        self.at_once = 1
        self.done = set()
        self.orders = []
        self.faults = []
        self.is_down = False

    def list_machines(self):
        """List all VMs."""
        if self.is_down:
            return Failure(PlatformUnavailable("down"))
        self.bring_back()
        return Success(
            tuple(
                Machine(
                    name,
                    SERVICE,
                    vm.state,
                    vm.runner.name if vm.state == UP else "",
                )
                for name, vm in self.vm_by_name.items()
            )
        )

    def bring_back(self):
        """End the upkeep of the VMs whose time is over."""
        for vm in self.vm_by_name.values():
            if vm.state == UPKEEP and self.clock.now() >= vm.back_at:
                vm.state = UP
                vm.runner.is_gone = False
                vm.runner.restart()

    def order_maintenance(self, machine, wave, holder, token):
        """Take a VM down, as the next fault has it."""
        self.bring_back()
        match self.faults.pop(0) if self.faults else "ok":
            case "down":
                return Failure(PlatformUnavailable("down"))
            case "lost":
                self._order(machine, wave, holder, token)
                return Failure(PlatformUncertain("lost"))
        return self._order(machine, wave, holder, token)

    def _order(self, machine, wave, holder, token):
        self._judge_holder(machine, holder, token)
        if machine not in self.vm_by_name:
            return Failure(MachineOrderRefused("unknown"))
        if machine not in self.machines_by_wave.get(wave, ()):
            return Failure(MachineOrderRefused("wave"))
        if (wave, machine) in self.done:
            return Success(None)
        vm = self.vm_by_name[machine]
        if vm.state != UP or vm.runner.is_gone:
            return Failure(MachineOrderRefused("busy"))
        self._judge_begin(machine, vm)
        self.done.add((wave, machine))
        vm.state, vm.back_at = UPKEEP, self.clock.now() + UPKEEP_SECONDS
        vm.runner.is_gone = True
        vm.runner.restart()
        vm.runner.name += "+"
        return Success(None)

    def _judge_holder(self, machine, holder, token):
        for _, name, other, used in self.orders:
            if name == machine and (
                used > token or (used == token and other != holder)
            ):
                self.ledger.problems.append(f"{machine}: {holder} orders with {token}")
        self.orders.append((self.clock.now(), machine, holder, token))

    def _judge_begin(self, machine, vm):
        down = sum(item.state == UPKEEP for item in self.vm_by_name.values())
        if down >= self.at_once:
            self.ledger.problems.append(f"{machine} goes down beside {down} others")
        bound = [
            task
            for task in vm.runner.run_by_task
            if self.ledger.has_disruption_limit(task)
        ]
        if bound:
            self.ledger.problems.append(f"upkeep of {machine} ends {bound}")
