"""GOAWAY frames are removed, however a connection's bytes are split into reads, and all others are kept."""

from __future__ import annotations

from hyperframe.frame import DataFrame, GoAwayFrame, PingFrame

from linenbridge.processor.goaway_filter import PREFACE, GoAwayFilter
from tests.peer_script import seeded_random


def test_goaways_are_removed_and_all_other_bytes_kept_however_reads_are_split():
    for seed in range(100):
        rng = seeded_random(seed)
        preface = b"p" * PREFACE
        sent, expected, goaway_streams = preface, preface, []
        for _ in range(rng.randint(1, 12)):
            if rng.random() < 0.4:
                goaway_streams.append(rng.randrange(1 << 31))
                sent += GoAwayFrame(0, goaway_streams[-1], 0, rng.randbytes(rng.randrange(30))).serialize()
            else:
                frame = rng.choice(
                    (DataFrame(3, rng.randbytes(rng.randrange(200))), PingFrame(0, rng.randbytes(8)))
                )
                sent, expected = sent + frame.serialize(), expected + frame.serialize()
        goaway_filter, passed, offset = GoAwayFilter(PREFACE), b"", 0
        while offset < len(sent):
            step = rng.randint(1, 40)
            passed += goaway_filter.feed(sent[offset : offset + step])
            offset += step
        assert passed == expected
        assert goaway_filter.last_streams == goaway_streams


def test_a_goaway_of_invalid_length_is_passed_on_and_flagged_if_oversized():
    for length in (0, 7, 20_000):
        data = length.to_bytes(3, "big") + b"\7\0\0\0\0\0" + b"x" * length
        goaway_filter = GoAwayFilter()
        assert goaway_filter.feed(data) == data
        assert not goaway_filter.last_streams
        assert goaway_filter.oversized == (length == 20_000)
