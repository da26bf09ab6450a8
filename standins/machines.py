"""Simulated VM service of the platform, which checks maintenance orders."""

from dataclasses import dataclass

from returns.result import Failure, Success

from bergamotshore.exceptions import PlatformUnavailable, PlatformUncertain
from bergamotshore.platform.operator import encode_wave_status, get_wave_status_id
from bergamotshore.ports.machines import UP, Machine, MachineOrderRefused
from standins.site import SERVICE

MAINTENANCE = "upkeep"
MAINTENANCE_SECONDS = 2.0


@dataclass(slots=True)
class VmState:
    """One VM.

    :param runner: ``RunnerStandIn`` of the worker on this VM.
    :param state: State as listed.
    :param back_at: When the present maintenance ends, in seconds.
    """

    runner: object
    state: str = UP
    back_at: float = 0.0


class MachinesStandIn:
    """The VMs of all workers; ``faults`` lists the faults of the next orders.

    Faults are 'ok' (none), 'down' (not executed) and 'lost' (executed, response lost).

    :param clock: ``Clock``.
    :param runner_by_node: ``RunnerStandIn`` by node name; each worker keeps its VM.
    :param ledger: ``Ledger`` that collects violations.
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
        self.finish_maintenance()
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

    def finish_maintenance(self):
        """Finish the maintenance of each VM whose maintenance time has passed."""
        for vm in self.vm_by_name.values():
            if vm.state == MAINTENANCE and self.clock.now() >= vm.back_at:
                vm.state = UP
                vm.runner.is_gone = False
                vm.runner.begin_incarnation()

    def order_maintenance(self, machine, wave, holder, token):
        """Start maintenance of a VM, subject to the next injected fault."""
        self.finish_maintenance()
        match self.faults.pop(0) if self.faults else "ok":
            case "down":
                return Failure(PlatformUnavailable("down"))
            case "lost":
                self._order(machine, wave, holder, token)
                return Failure(PlatformUncertain("lost"))
        return self._order(machine, wave, holder, token)

    def _order(self, machine, wave, holder, token):
        self._check_fencing_token(machine, holder, token)
        if machine not in self.vm_by_name:
            return Failure(MachineOrderRefused("unknown"))
        if machine not in self.machines_by_wave.get(wave, ()):
            return Failure(MachineOrderRefused("wave"))
        if (wave, machine) in self.done:
            return Success(None)
        vm = self.vm_by_name[machine]
        if vm.state != UP or vm.runner.is_gone:
            return Failure(MachineOrderRefused("busy"))
        self._check_disruption(machine, vm)
        self.done.add((wave, machine))
        vm.state, vm.back_at = MAINTENANCE, self.clock.now() + MAINTENANCE_SECONDS
        vm.runner.is_gone = True
        vm.runner.begin_incarnation()
        vm.runner.name += "+"
        return Success(None)

    def check_wave_status(self, store):
        """Check that only finished waves are reported as complete.

        :param store: ``RowsStandIn``.
        """
        for wave, machines in self.machines_by_wave.items():
            row = store.row_by_id.get(get_wave_status_id(wave))
            if row is None or row.value != encode_wave_status(is_complete=True):
                continue
            missing = sorted(m for m in machines if (wave, m) not in self.done)
            if missing:
                self.ledger.problems.append(
                    f"wave {wave} is reported as complete without {missing}"
                )

    def _check_fencing_token(self, machine, holder, token):
        for _, name, other, used in self.orders:
            if name == machine and (
                used > token or (used == token and other != holder)
            ):
                self.ledger.problems.append(
                    f"{machine}: {holder} uses stale or reused token {token}"
                )
        self.orders.append((self.clock.now(), machine, holder, token))

    def _check_disruption(self, machine, vm):
        down = sum(item.state == MAINTENANCE for item in self.vm_by_name.values())
        if down >= self.at_once:
            self.ledger.problems.append(
                f"{machine} goes down while {down} others are down"
            )
        restricted = [
            task
            for task in vm.runner.run_by_task
            if self.ledger.has_disruption_limit(task)
        ]
        if restricted:
            self.ledger.problems.append(f"maintenance of {machine} ends {restricted}")
