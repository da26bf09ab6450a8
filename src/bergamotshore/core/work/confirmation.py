"""How long looks at declared rows may take, so that changes are in force in time.

A look proves what was so when it was asked. Knowledge that was not proved for as long
as a change may take to be in force decides nothing more, whatever became of the looks
meanwhile.
"""

from dataclasses import dataclass

# A look waits this share of the time for a change. Two looks in a row take less than
# half of it, so that one that gets no answer leaves time for another.
WAIT_SHARE = 0.2
# Further share for the answer: at 2 s it covers that of a slow store, under 0.4 s.
ANSWER_SHARE = 0.3


@dataclass(frozen=True, slots=True)
class LookTimes:
    """Times of one look at a feed.

    :param wait: Longest wait for a change, in seconds.
    :param timeout: Time until it is given up, in seconds.
    """

    wait: float
    timeout: float


def get_look_times(within):
    """Return the ``LookTimes`` of a feed.

    :param within: Time after which a change has to be in force, in seconds.
    """
    return LookTimes(WAIT_SHARE * within, (WAIT_SHARE + ANSWER_SHARE) * within)
