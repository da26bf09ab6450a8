"""Bounds of what connections to the address for streams make a process hold."""

from bergamotshore.core.bodybudget import RESERVED_SHARE, BodyBudget

# Share of the memory of the VM for messages that have not arrived as a whole.
MEMORY_SHARE = 1 / 8
BYTES_PER_MB = 1_000_000
# A message is kept by the decoder and by its unpacker.
MESSAGE_COPIES = 2
# Cost of a connection besides its messages: stream, decoder and buffers, in bytes.
STREAM_BYTES = 16 * 1024
# Largest first message: who the peer is.
MAX_HELLO_BYTES = 16 * 1024
# Connections whose peers have not told who they are; beyond it, the oldest is closed.
MAX_UNIDENTIFIED = 256


class StreamIntake:
    """Memory and connections of streams whose peers connect to this process.

    Peers that have told who they are come before those that have not. All methods are
    called in the loop's thread.

    :param limits: ``settings.Intake``.
    :param largest_message: Largest message of a stream, in bytes.
    :param clock: ``Clock``.
    :param registry: ``Registry``.
    :param log: ``EventLog``.
    """

    def __init__(self, limits, largest_message, clock, registry, log):
        largest_cost = STREAM_BYTES + MESSAGE_COPIES * largest_message
        self._budget = BodyBudget(
            max(
                int(limits.memory_mb * BYTES_PER_MB * MEMORY_SHARE),
                int(largest_cost / (1 - RESERVED_SHARE)),
            ),
            limits.body_stall,
        )
        self._max_unidentified = min(MAX_UNIDENTIFIED, limits.connections)
        # In the order in which they were opened.
        self._unidentified = {}
        self._clock = clock
        self._registry = registry
        self._log = log
        registry.watch("stream_memory_bytes", lambda: self._budget.held)

    def open(self, stream):
        """Admit a new stream, in place of the oldest unidentified one if need be."""
        self._unidentified[stream] = True
        if len(self._unidentified) > self._max_unidentified:
            self._drop(next(iter(self._unidentified)), "connections")
        self.update(stream)

    def identify(self, stream):
        """Record that a peer has told who it is."""
        self._unidentified.pop(stream, None)

    def update(self, stream):
        """Account for what a stream holds; close it, or others, if it doesn't fit."""
        is_identified = stream not in self._unidentified
        cost = MESSAGE_COPIES * stream.waiting_bytes
        if not is_identified:
            cost += STREAM_BYTES
        if not cost:
            self._budget.release(stream)
            return
        admission = self._budget.charge(
            stream, cost, self._clock.now(), has_arrived=is_identified
        )
        for victim in admission.evicted:
            self._drop(victim, "stalled")
        if not admission.is_admitted:
            self._drop(stream, "no-room")

    def close(self, stream):
        """Record that a stream holds nothing any more."""
        self._unidentified.pop(stream, None)
        self._budget.release(stream)

    def _drop(self, stream, reason):
        self._registry.count("streams_dropped_total", reason=reason)
        self._log.write("stream-dropped", reason, held=self._budget.held)
        stream.close(f"intake-{reason}")
