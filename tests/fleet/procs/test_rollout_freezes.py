"""A gateway process that is a member: a rollout freeze reaches its decision module."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
from datetime import UTC, datetime, timedelta

import pytest

from tests.fleet.procs.installation import ROOT, free_ports

SETTINGS = """<linenbridge xmlns="urn:linenbridge:premises:1">
<processor listen="127.0.0.1:{processor}"><partner name="desk" address="127.0.0.1"/>
<routes><![CDATA[route a {{ when always method "look" }}]]></routes></processor>
<fleet member="g1" listen="127.0.0.1:{fleet}" freezes="freezes.xml">
<member name="g2" address="127.0.0.1:9"/><member name="g3" address="127.0.0.1:9"/>
<council><seat name="g1"/><seat name="g2"/><seat name="g3"/></council></fleet></linenbridge>"""


def window(attributes: str = "") -> str:
    """Return a file with a window that began an hour ago, in a time zone nine hours ahead of UTC."""
    begin = (datetime.now(UTC) + timedelta(hours=9) - timedelta(hours=1)).strftime("%Y-%m-%dT%H:%M")
    row = f'<window name="move" kind="hold" from="{begin}" for="2h" in="Asia/Seoul" {attributes}/>'
    return f'<freezes xmlns="urn:linenbridge:premises:1">{row}</freezes>'


@pytest.fixture
def gateway(tmp_path):
    """A gateway without the other members of its quorum: a rollout freeze does not need them."""
    listen, processor, fleet = free_ports(3)
    settings = json.loads((ROOT / "examples" / "config.json").read_text()) | {"listen": f"127.0.0.1:{listen}"}
    (tmp_path / "config.json").write_text(json.dumps(settings))
    (tmp_path / "s.xml").write_text(SETTINGS.format(processor=processor, fleet=fleet))
    (tmp_path / "freezes.xml").write_text(window())
    process = subprocess.Popen(
        [
            sys.executable,
            "-m",
            "linenbridge",
            "serve",
            "-s",
            str(tmp_path / "s.xml"),
            "-c",
            str(tmp_path / "config.json"),
        ],
        cwd=ROOT,
        stderr=subprocess.PIPE,
        text=True,
        env=dict(os.environ),
    )
    yield process
    process.kill()
    process.wait()
    process.stderr.close()


def test_a_rollout_freeze_reaches_the_decision_module_and_ends_when_a_reload_cancels_it(gateway, tmp_path):
    def read_until(event: str, text: str = "") -> dict:
        for line in gateway.stderr:
            row = json.loads(line)
            if row["event"] == event and text in line:
                return row
        raise AssertionError(f"the process ended without {event} {text}")

    assert read_until("rollout_freeze.opened")["window"] == "move"
    assert read_until("decision", "rollout_freeze")["zones"] == []
    (tmp_path / "freezes.xml").write_text(window('every="1 moon"'))
    gateway.send_signal(signal.SIGHUP)
    assert "attribute 'every'" in read_until("fleet.settings_rejected")["error"]
    (tmp_path / "freezes.xml").write_text(window('cancelled="true"'))
    gateway.send_signal(signal.SIGHUP)
    assert read_until("rollout_freeze.ended")["early"] is True
    assert read_until("decision", "rollout_freeze")["zones"] is None
    gateway.terminate()
    read_until("stopped")
    assert gateway.wait(10) == 0
