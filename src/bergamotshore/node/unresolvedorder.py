"""An order to a worker of which it is not known whether it was carried out."""

import math
from dataclasses import dataclass

# A worker on the same VM answers an order in a few milliseconds, and a slow node takes
# longer to notice. An order that it has left without an answer for this time, in
# seconds, while it lived on, hasn't crashed it.
PROMPT_SECONDS = 0.5


@dataclass(slots=True)
class UnresolvedOrder:
    """An order to start a run whose outcome is not known yet.

    :param fence: Fencing token of the call.
    :param is_in_flight: Whether the call to the worker has not returned.
    :param sent_at: When the call was made, in seconds; infinite before that.
    :param was_absent: Whether the worker has listed all its runs since, without it.
    """

    fence: int
    is_in_flight: bool = True
    sent_at: float = math.inf
    was_absent: bool = False

    def may_have_crashed(self, alive_at):
        """Return whether its run may have crashed the worker.

        :param alive_at: When the worker gave its last sign of life, in seconds.
        """
        is_sent = self.sent_at < math.inf
        return (
            is_sent and not self.was_absent and alive_at - self.sent_at < PROMPT_SECONDS
        )
