"""What a gateway is told at the start, and signals to a process of its own."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
from pathlib import Path

import pytest

import linenbridge
from linenbridge.process.configuration import load


@pytest.mark.parametrize(
    ("text", "names"), [(None, "LB_CONFIG"), ("{", "configuration"), ('{"listen":1}', "listen")]
)
def test_a_configuration_that_cannot_be_used_is_named_in_one_line(tmp_path, text, names):
    path = tmp_path / "config.json"
    if text is not None:
        path.write_text(text)
    with pytest.raises(ValueError, match=names) as error:
        load({"LB_CONFIG": str(path)} if text is not None else {})
    assert "\n" not in str(error.value)


def test_a_hangup_reads_the_configuration_anew_and_never_ends_the_gateway(tmp_path):
    """A process of its own: signals are the one thing that no stand-in shows."""
    with socket.create_server(("127.0.0.1", 0)) as port:
        listen = "127.0.0.1:%d" % port.getsockname()[1]  # noqa: UP031
    root = Path(linenbridge.__file__).parents[1]
    told = json.loads((root / "examples" / "config.json").read_text()) | {"listen": listen}
    path = tmp_path / "config.json"
    path.write_text(json.dumps(told))
    run = subprocess.Popen(
        [sys.executable, "-m", "linenbridge"], cwd=root, stderr=subprocess.PIPE, text=True,
        env={**os.environ, "LB_CONFIG": str(path)},
    )  # fmt: skip
    try:

        def until(name: str) -> dict:
            return next(event for line in run.stderr if (event := json.loads(line))["event"] == name)

        until("started")
        path.write_text("{")
        run.send_signal(signal.SIGHUP)
        assert "configuration" in until("reload.rejected")["error"]
        path.write_text(json.dumps(told | {"discovery": "127.0.0.1:7501"}))
        run.send_signal(signal.SIGHUP)
        assert until("reloaded")["discovery"] == "127.0.0.1:7501"
        run.send_signal(signal.SIGTERM)
        until("stopping")
        run.send_signal(signal.SIGHUP)
        until("stopped")
        assert run.wait(10) == 0
    finally:
        run.kill()
        run.wait()
        run.stderr.close()
