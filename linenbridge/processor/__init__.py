"""The external processor: assigns endpoints to the requests of proxies, and reads their reports."""
