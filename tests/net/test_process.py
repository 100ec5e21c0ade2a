"""The configuration of a gateway at its start, and signals to a gateway in its own process."""

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
    ("content", "named"), [(None, "LB_CONFIG"), ("{", "configuration"), ('{"listen":1}', "listen")]
)
def test_an_unusable_configuration_raises_a_one_line_error_that_names_it(tmp_path, content, named):
    path = tmp_path / "config.json"
    if content is not None:
        path.write_text(content)
    with pytest.raises(ValueError, match=named) as error:
        load({"LB_CONFIG": str(path)} if content is not None else {})
    assert "\n" not in str(error.value)


def test_sighup_reloads_the_configuration_and_does_not_end_the_gateway(tmp_path):
    """The gateway runs in its own process: no fake shows the effect of a signal."""
    with socket.create_server(("127.0.0.1", 0)) as probe:
        listen = "127.0.0.1:%d" % probe.getsockname()[1]  # noqa: UP031
    root = Path(linenbridge.__file__).parents[1]
    configuration = json.loads((root / "examples" / "config.json").read_text()) | {"listen": listen}
    path = tmp_path / "config.json"
    path.write_text(json.dumps(configuration))
    gateway = subprocess.Popen(
        [sys.executable, "-m", "linenbridge"],
        cwd=root,
        stderr=subprocess.PIPE,
        text=True,
        env={**os.environ, "LB_CONFIG": str(path)},
    )
    try:

        def wait_for_event(name: str) -> dict:
            return next(event for line in gateway.stderr if (event := json.loads(line))["event"] == name)

        wait_for_event("started")
        path.write_text("{")
        gateway.send_signal(signal.SIGHUP)
        assert "configuration" in wait_for_event("reload.rejected")["error"]
        path.write_text(json.dumps(configuration | {"discovery": "127.0.0.1:7501"}))
        gateway.send_signal(signal.SIGHUP)
        assert wait_for_event("reloaded")["discovery"] == "127.0.0.1:7501"
        gateway.send_signal(signal.SIGTERM)
        wait_for_event("stopping")
        gateway.send_signal(signal.SIGHUP)
        wait_for_event("stopped")
        assert gateway.wait(10) == 0
    finally:
        gateway.kill()
        gateway.wait()
        gateway.stderr.close()
