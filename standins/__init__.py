"""Simulated platform services, workers, endpoints and load balancer.

Most run as separate processes that speak the real wire protocol and support fault
injection. They serve the demo and the tests and are not part of the product.
"""
