"""A wall clock that is stepped while requests are open: deadlines and the stop follow real time."""

from __future__ import annotations

import signal
import time

import pytest

from tests.net.loopback import GatewayProcess, request_command

HOUR = 3_600.0  # seconds
STEP_AFTER = 1.5  # seconds after the start of the process
STEPPED_CLOCK = """
import time
wall, wall_ns, step_at = time.time, time.time_ns, time.monotonic() + {after}
time.time = lambda: wall() + ({step} if time.monotonic() > step_at else 0)
time.time_ns = lambda: wall_ns() + (int({step} * 1e9) if time.monotonic() > step_at else 0)
"""
LATENESS = 0.5  # seconds


@pytest.mark.parametrize("step", [-HOUR, -3.0, 3.0, HOUR])
@pytest.mark.parametrize("stops", [False, True])
def test_a_request_pending_at_a_step_of_the_wall_clock_is_answered_by_its_deadline(tmp_path, step, stops):
    before = STEPPED_CLOCK.format(after=STEP_AFTER, step=step)
    with GatewayProcess(tmp_path, before=before) as gateway:
        began = time.monotonic()
        client = gateway.connect_client()
        time.sleep(max(0.0, began + STEP_AFTER - 0.5 - time.monotonic()))
        client.send(request_command("id1", wait=1500))
        sent = time.monotonic()
        gateway.instance.accept().read_command()
        stopped = gateway.signal(signal.SIGTERM) if stops else None
        assert client.read_reply().startswith((b"-BUSY", b"-ERR"))
        assert 1.0 < time.monotonic() - sent < 1.5 + LATENESS
        stopped = stopped or gateway.signal(signal.SIGTERM)
        client.close()
        assert gateway.wait_for_exit() == 0
        assert time.monotonic() < stopped + 2.7  # seconds: the longest deadline, and 0.7
