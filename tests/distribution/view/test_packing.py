"""A bucket of named values behaves like a dict."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from linenbridge.distribution.view.packing import names, packed_entry, value_of, with_value

NAMES = st.sampled_from(["", "a", "aa", "b", "ü", "shop.internal", "shop.internal/1"])
STEPS = st.lists(st.tuples(NAMES, st.none() | st.binary(max_size=20)), max_size=30)


@given(STEPS)
def test_a_bucket_has_the_values_of_a_dict(steps: list[tuple[str, bytes | None]]) -> None:
    bucket = b""
    plain: dict[str, bytes] = {}

    for name, value in steps:
        bucket = with_value(bucket, name, value)
        if value is None:
            plain.pop(name, None)
        else:
            plain[name] = value

    assert sorted(names(bucket)) == sorted(plain)
    assert all(value_of(bucket, name) == value for name, value in plain.items())
    assert value_of(bucket, "none") is None
    assert sorted(b"".join(packed_entry(*pair) for pair in plain.items())) == sorted(bucket)
