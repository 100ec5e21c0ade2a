"""Usage of tenant quotas: evicting rates changes no usage, or only by the bound that `QuotaUsage` states."""

from __future__ import annotations

from math import exp

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from linenbridge.interface import SECOND
from linenbridge.state.counters import QuotaUsage

TIME_CONSTANT = 5 * SECOND


class ReferenceQuotaUsage:
    """Reference implementation for these tests: one rate for each name, never evicted."""

    def __init__(self, named_tenants: set[str]) -> None:
        self.rates = {name: (0.0, 0) for name in (*named_tenants, "all", "others")}
        self.named_tenants = named_tenants

    def usage(self, now: int, tenant: str) -> float:
        rate_name = tenant if tenant in self.named_tenants else "others"
        for key in ("all", rate_name):
            amount, updated_at = self.rates[key]
            self.rates[key] = (amount * exp((updated_at - now) / TIME_CONSTANT) + 1.0, now)
        return self.rates[rate_name][0] / self.rates["all"][0]


TENANTS = {f"t{number}" for number in range(12)}
WAITS = ((0, 1), (0, 60), (150, 260))  # seconds
ARRIVALS = st.lists(
    st.tuples(
        st.one_of(*(st.integers(min_wait * SECOND, max_wait * SECOND) for min_wait, max_wait in WAITS)),
        st.sampled_from((*sorted(TENANTS), "t0", "t0", "unknown")),
    ),
    max_size=60,
)


@settings(max_examples=300, deadline=None)
@given(ARRIVALS)
def test_usage_equals_the_reference_to_the_last_bit_when_negligible_rates_are_evicted(arrivals):
    quota_usage = QuotaUsage(TIME_CONSTANT, TENANTS, 1_000)
    reference = ReferenceQuotaUsage(TENANTS)
    now = 0
    for wait, name in arrivals:
        now += wait
        assert quota_usage.usage(now, name) == reference.usage(now, name)


@settings(max_examples=200, deadline=None)
@given(ARRIVALS, st.integers(1, 5))
def test_usage_is_too_low_by_at_most_the_evicted_rate_with_more_tenants_than_max_rates(arrivals, max_rates):
    quota_usage = QuotaUsage(TIME_CONSTANT, TENANTS, max_rates)
    reference = ReferenceQuotaUsage(TENANTS)
    now = 0
    for wait, name in arrivals:
        now += wait
        stored = name in quota_usage.rates or name not in TENANTS
        expected = reference.usage(now, name)
        evicted = reference.rates[name][0] - 1.0 if name in TENANTS else 0.0
        error = expected - quota_usage.usage(now, name)
        assert -1e-12 <= error <= evicted / reference.rates["all"][0] + 1e-12
        assert stored or quota_usage.rates[name].amount == 1.0
        assert len(quota_usage.rates) <= max_rates


def test_rates_are_stored_only_for_recent_tenants():
    names = {f"t{number}": 1e-4 for number in range(10_000)}
    quota_usage = QuotaUsage(TIME_CONSTANT, names, 1_000)
    assert not quota_usage.rates
    for number in range(10_000):
        quota_usage.usage(number * 1_000, f"t{number}")
    assert len(quota_usage.rates) == 1_000
    assert "t9999" in quota_usage.rates
    assert "t8999" not in quota_usage.rates
    for number in range(600):
        quota_usage.usage(400 * SECOND + number, "t1")
    assert list(quota_usage.rates) == ["t1"]


@pytest.mark.parametrize("seconds", [1, 30, 180])
def test_a_rate_above_the_negligible_rate_is_not_evicted(seconds):
    quota_usage = QuotaUsage(TIME_CONSTANT, TENANTS, 1_000)
    for number in range(1_000):
        quota_usage.usage(number, "t1")
    for _ in range(50):
        quota_usage.usage(seconds * SECOND, "t2")
    assert "t1" in quota_usage.rates
