"""Interface to the service that lists VMs and carries out their maintenance."""

from dataclasses import dataclass
from typing import Protocol

UP = "up"


@dataclass(frozen=True, slots=True)
class Machine:
    """A VM as listed by the machine service.

    :param name: Name of the VM.
    :param pool: Service that the VM's worker belongs to.
    :param state: 'up', 'moving', 'upkeep' (under maintenance) or 'down'.
    :param worker: Name of its worker; empty when there is none.
    """

    name: str
    pool: str
    state: str
    worker: str = ""

    @property
    def is_up(self):
        """Whether the VM is running."""
        return self.state == UP


@dataclass(frozen=True, slots=True)
class MachineOrderRefused:
    """The machine service rejected an order and did nothing.

    :param reason: 'fence', 'busy', 'wave', 'unknown' or 'rate'.
    """

    reason: str
    code: str = "machine-order-refused"


class MachineService(Protocol):
    """Lists VMs and carries out maintenance on them."""

    def list_machines(self):
        """Return a ``Result`` of a tuple of ``Machine``."""

    def order_maintenance(self, machine, wave, holder, token):
        """Order maintenance of a VM, which terminates everything running on it.

        The call is idempotent: repeating an order that was already carried out succeeds
        and has no effect.

        :param machine: Name of the VM.
        :param wave: Number of the maintenance wave.
        :param holder: Identity of the process that orders; each token has one holder.
        :param token: Fencing token; increases with each holder.
        :returns: ``Result`` of None; failures are ``MachineOrderRefused``,
            ``PlatformUnavailable`` (nothing was done) and ``PlatformUncertain``.
        """
