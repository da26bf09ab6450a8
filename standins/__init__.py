"""Stand-ins for the platform, workers, endpoints and the balancer.

Each is a process of its own, met over its wire protocol, with a fault switch. They are
used by the demo and the tests and are no part of the product.
"""
