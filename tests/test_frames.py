"""GOAWAY is taken out wherever reads are cut, and nothing else is."""

from __future__ import annotations

from hyperframe.frame import DataFrame, GoAwayFrame, PingFrame

from linenbridge.processor.goaway_filter import PREFACE, GoAwayFilter
from tests.peer_script import seeded_random


def test_goaways_go_and_all_else_stays_whatever_the_cuts():
    for seed in range(100):
        chance = seeded_random(seed)
        preface = b"p" * PREFACE
        sent, wanted, lasts = preface, preface, []
        for _ in range(chance.randint(1, 12)):
            if chance.random() < 0.4:
                lasts.append(chance.randrange(1 << 31))
                sent += GoAwayFrame(0, lasts[-1], 0, chance.randbytes(chance.randrange(30))).serialize()
            else:
                frame = chance.choice(
                    (DataFrame(3, chance.randbytes(chance.randrange(200))), PingFrame(0, chance.randbytes(8)))
                )
                sent, wanted = sent + frame.serialize(), wanted + frame.serialize()
        found, got, at = GoAwayFilter(PREFACE), b"", 0
        while at < len(sent):
            step = chance.randint(1, 40)
            got += found.feed(sent[at : at + step])
            at += step
        assert got == wanted
        assert found.last_streams == lasts


def test_a_goaway_with_a_wrong_length_is_left_to_be_refused():
    for length in (0, 7, 20_000):
        data = length.to_bytes(3, "big") + b"\7\0\0\0\0\0" + b"x" * length
        found = GoAwayFilter()
        assert found.feed(data) == data
        assert not found.last_streams
        assert found.oversized == (length == 20_000)
