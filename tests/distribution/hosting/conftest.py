"""A relay and a candidate for publisher, each on a fake reactor."""

from __future__ import annotations

import io
from collections.abc import Iterator
from pathlib import Path
from random import Random
from unittest.mock import Mock

import pytest

from linenbridge.configuration.read import parse
from linenbridge.distribution.configuration import distribution
from linenbridge.distribution.hosting import publisher as publisher_module
from linenbridge.distribution.hosting.publisher import PublisherProcess
from linenbridge.distribution.hosting.relay import Relay
from linenbridge.logging.event_log import Log
from tests.distribution.hosting.fakes import FakeMember, FakeReactor
from tests.distribution.hosting.test_configuration import PUBLISHER, RELAY, fleet, settings_file


@pytest.fixture
def relay(tmp_path: Path) -> Iterator[Relay]:
    (tmp_path / "eu-1").mkdir()
    settings = distribution(parse(settings_file(RELAY.replace("eu-1.db", "eu-1")), str(tmp_path / "x.xml")))
    hosted_relay = Relay(settings, FakeReactor(), Log(io.BytesIO()), Random(1), Mock())
    hosted_relay.reactor.threads.run_all()
    yield hosted_relay
    hosted_relay.close(lambda: None)
    hosted_relay.reactor.threads.run_all()


@pytest.fixture
def publisher(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> PublisherProcess:
    monkeypatch.setattr(publisher_module, "Member", FakeMember)
    data = settings_file(PUBLISHER, before=fleet('<task name="publish-eu"/>'))
    settings = distribution(parse(data, str(tmp_path / "x.xml")))
    return PublisherProcess(
        settings, None, FakeReactor(), Log(io.BytesIO()), lambda kind, name, value: "", Random(1)
    )
