"""The guards of the rules at their edges, with settings that other customers have."""

from __future__ import annotations

from dataclasses import replace

import pytest

from linenbridge import interface as face
from linenbridge.policy import Choice
from linenbridge.interface import SECOND, Method
from tests.helpers import MS, entry, pull, startup


def tokened(window: int, group: str = "all", **changes) -> tuple[Choice, int]:
    """A gateway with one open tokened RPC, its first pick out since the time returned."""
    start = startup(**changes)
    methods = (start.methods[0], Method("store", face.TOKENED, group, window, 4 * SECOND, 2.0))
    gateway, now = Choice(replace(start, methods=methods), seed=3, now=0), 10 * SECOND
    gateway.on_list(now, [entry(n) for n in (1, 2, 3)], whole=True, answers=True)
    gateway.on_rpc(now, "r", "store", 8 * SECOND, None, "", None)
    assert [decision[0] for decision in pull(gateway, now)] == [face.PICK]
    return gateway, now


@pytest.mark.parametrize("connect_wait", [0, 250 * MS, SECOND])
@pytest.mark.parametrize("window", [1200 * MS, 3 * SECOND])
def test_a_tokened_rpc_goes_out_again_only_while_its_repeat_is_known_when_it_gets_there(window, connect_wait):
    """The connection may take its whole time to come up, and only then does the pick leave."""
    sweep = 50 * MS
    for after, again in ((window - connect_wait - sweep - MS, True), (window - connect_wait - sweep, False)):
        gateway, now = tokened(window, connect_wait=connect_wait)
        gateway.on_reply(now + after, "r", 0, face.ERROR, False, after, {})
        assert (pull(gateway, now + after)[0][0] == face.PICK) is again


def test_a_tokened_rpc_that_may_have_run_is_pushed_back_only_while_its_client_can_come_again_in_the_window():
    wait, lead = SECOND, 250 * MS + 50 * MS
    for after, group, answer in (
        (5 * SECOND - lead - wait - MS, "all", (face.PUSH_BACK, "r", wait)),
        (5 * SECOND - lead - wait, "all", (face.ABORT, "r")),
        (100 * MS, "all", (face.PUSH_BACK, "r", wait)),
        (100 * MS, "zone", (face.ABORT, "r")),
    ):
        gateway, now = tokened(5 * SECOND, group, max_picks=1, retry_after_most=wait)
        gateway.on_reply(now + after, "r", 0, face.ERROR, False, after, {})
        assert pull(gateway, now + after)[0] == answer
    gateway, now = tokened(SECOND // 2, max_picks=1)
    gateway.on_reply(now, "r", 0, face.UNREACHED, False, 0, {})
    assert pull(gateway, now)[0][0] == face.PUSH_BACK, "what never ran may come again at any time"
