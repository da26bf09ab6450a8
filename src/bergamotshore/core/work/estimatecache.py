"""Cache of estimates that is cleared by what they are derived from.

A pass asks for the estimate of each run that may be late. Each finished task changes
few of them: those of its job, and now and then those of its kinds.
"""

# Bound of the state.
MAX_CACHED = 4096


class EstimateCache:
    """Estimates by key, and the keys by source.

    A source is anything hashable that an estimate is derived from.
    """

    def __init__(self):
        self._entry_by_key = {}
        self._keys_by_source = {}

    def __len__(self):
        return len(self._entry_by_key)

    @property
    def sources(self):
        """Return the number of sources of what is kept."""
        return len(self._keys_by_source)

    def get(self, key):
        """Return the estimate of a key, or None."""
        entry = self._entry_by_key.get(key)
        return None if entry is None else entry[0]

    def put(self, key, estimate, sources):
        """Keep the estimate of a key until one of its sources is dropped."""
        if len(self._entry_by_key) >= MAX_CACHED:
            self._entry_by_key.clear()
            self._keys_by_source.clear()
        self._entry_by_key[key] = (estimate, sources)
        for source in sources:
            self._keys_by_source.setdefault(source, set()).add(key)

    def drop(self, source):
        """Forget the estimates that are derived from a source."""
        for key in self._keys_by_source.pop(source, ()):
            _, sources = self._entry_by_key.pop(key)
            for other in sources:
                if other in self._keys_by_source:
                    self._forget(other, key)

    def _forget(self, source, key):
        keys = self._keys_by_source[source]
        keys.discard(key)
        if not keys:
            del self._keys_by_source[source]
