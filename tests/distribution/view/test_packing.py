"""Named values in one piece of bytes are a dict."""

from __future__ import annotations

from hypothesis import given, strategies as st

from linenbridge.distribution.view.packing import names, packed_entry, value_of, with_value

NAMES = st.sampled_from(["", "a", "aa", "b", "ü", "shop.internal", "shop.internal/1"])
STEPS = st.lists(st.tuples(NAMES, st.none() | st.binary(max_size=20)), max_size=30)


@given(STEPS)
def test_a_piece_holds_what_a_dict_holds(steps):
    piece, plain = b"", {}
    for name, value in steps:
        piece = with_value(piece, name, value)
        if value is None:
            plain.pop(name, None)
        else:
            plain[name] = value
    assert sorted(names(piece)) == sorted(plain)
    assert all(value_of(piece, name) == value for name, value in plain.items())
    assert value_of(piece, "none") is None
    assert sorted(b"".join(packed_entry(*pair) for pair in plain.items())) == sorted(piece)
