"""WSGI application that exports the metrics of a process."""

from bergamotshore.metrics.registry import CONTENT_TYPE


class MetricsApp:
    """WSGI application that returns all metrics in the text exposition format.

    :param registry: ``Registry``.
    """

    def __init__(self, registry):
        self._registry = registry

    def __call__(self, environ, start_response):
        """Handle one request."""
        body = self._registry.render().encode()
        headers = [
            ("Content-Type", CONTENT_TYPE),
            ("Content-Length", str(len(body))),
        ]
        start_response("200 OK", headers)
        return [body]
