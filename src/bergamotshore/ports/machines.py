"""The port of the service that keeps the list of VMs and does their upkeep."""

from dataclasses import dataclass
from typing import Protocol

UP = "up"


@dataclass(frozen=True, slots=True)
class Machine:
    """One VM as the service lists it.

    :param name: Name of the VM.
    :param pool: Service that its worker belongs to.
    :param state: 'up', 'moving', 'upkeep' or 'down'.
    :param worker: Its worker; empty when there is none.
    """

    name: str
    pool: str
    state: str
    worker: str = ""

    @property
    def is_up(self):
        """Tell whether it runs."""
        return self.state == UP


@dataclass(frozen=True, slots=True)
class MachineOrderRefused:
    """The service has not done what was asked.

    :param reason: 'fence', 'busy', 'wave', 'unknown' or 'rate'.
    """

    reason: str
    code: str = "machine-order-refused"


class MachineService(Protocol):
    """List VMs and order their upkeep."""

    def list_machines(self):
        """Return ``Result`` of a tuple of ``Machine``."""

    def order_maintenance(self, machine, wave, holder, token):
        """Order the upkeep of a VM; all that runs there ends at once.

        An order that was carried out before succeeds again and does nothing.

        :param machine: Name of the VM.
        :param wave: Number of the wave.
        :param holder: Who orders; one holder a token.
        :param token: Rises with each holder.
        :returns: ``Result`` of None; ``MachineOrderRefused``, ``PlatformUnavailable``
            when nothing was done, or ``PlatformUncertain``.
        """
