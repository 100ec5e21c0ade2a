"""Request priorities: the weight of a request by its method, its work and its tenant's quota.

Waiting requests are dispatched by descending weight, and requests of low weight are shed first.
"""

from __future__ import annotations

from linenbridge.interface import SECOND, Startup
from linenbridge.state.counters import QuotaUsage
from linenbridge.state.traffic import ResponseTimes

QUOTA_TIME_CONSTANT = 5 * SECOND  # microseconds; of the tenants' request rates
MAX_TENANTS = 1 << 14  # tenants whose request rate is stored
QUOTA_TOLERANCE = 1.15  # multiple of its quota above which a tenant is over its quota


class RequestPriorities:
    """The weight of each new request, and the usage of the tenants' quotas."""

    def __init__(self, startup: Startup, response_times: ResponseTimes) -> None:
        self.methods = startup.methods
        self.by_work = startup.allowances.weighted_by_work
        self.over_quota_weight = startup.allowances.over_quota_weight
        self.quotas = startup.tenant_quotas
        self.response_times = response_times
        self.usage = QuotaUsage(QUOTA_TIME_CONSTANT, startup.tenant_quotas, MAX_TENANTS)

    def weight(self, now: int, method_index: int, tenant: str) -> float:
        """Count a request of the tenant and return the weight of the request.

        A priority weight that counts per request is divided by the method's mean response time in
        microseconds. The weight is reduced if the tenant is over its quota.
        """
        weight = self.methods[method_index].priority_weight
        if not self.by_work:
            weight /= self.response_times.mean[method_index]
        if self.usage.usage(now, tenant) > QUOTA_TOLERANCE * self.quotas.get(tenant, 1.0):
            weight *= self.over_quota_weight
        return weight
