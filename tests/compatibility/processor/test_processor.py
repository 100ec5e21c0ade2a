"""Responses to proxies equal those of the base, and a reservation store of the base remains usable."""

from __future__ import annotations

import json
import shutil
from collections.abc import Callable
from pathlib import Path

import apsw
import pytest

from linenbridge.processor import codec
from linenbridge.processor.responses import ResponseFormat
from linenbridge.processor.store import ReservationStore, request_digest

HERE = Path(__file__).parent
NOW = 1_000_000.0  # Unix seconds, the time at which the base wrote its store
KINDS = (
    "request_headers",
    "request_body",
    "request_trailers",
    "response_headers",
    "response_body",
    "response_trailers",
)
BASE_RESPONSES = json.loads((HERE / "responses.json").read_text())


def responses() -> dict[str, bytes]:
    """Return the responses that `record_processor.py` recorded, as the present code encodes them."""
    form = ResponseFormat()
    plain = ResponseFormat(metadata="")
    found = {
        "dispatch": form.dispatch(False, "10.0.0.1:7001", "0123456789abcdef.7", 900_000, 100_000),
        "dispatch, gRPC": form.dispatch(True, "[::1]:7001", "0123456789abcdef.7", 900_999, 999),
        "dispatch, no metadata": plain.dispatch(False, "10.0.0.1:7001", "a.1", 1, 0),
        "dispatch, late": form.dispatch(False, "10.0.0.1:7001", "a.1", -5, -5),
        "reject": form.rejection(False, 0, "try again"),
        "reject, wait": form.rejection(False, 1_500_001, "try again"),
        "reject, gRPC": form.rejection(True, 250_000, "try again"),
        "fail": form.final_response(False, form.aborted, {form.outcome: "aborted"}, "aborted"),
        "fail, gRPC": form.final_response(True, form.aborted, {form.outcome: "aborted"}, "aborted"),
        "timed out": form.final_response(False, form.timed_out, {form.outcome: "timed_out"}, "aborted"),
        "unrouted": form.final_response(False, form.unrouted, {}, "no route takes this request"),
        "unrouted, gRPC": form.final_response(True, form.unrouted, {}, "no route takes this request"),
    }
    for kind in KINDS:
        found[f"continue {kind}"] = codec.continue_response(kind)
        if "body" not in kind:
            found[f"continue {kind}, headers"] = codec.continue_response(
                kind, {"x-linenbridge-again": "1", "x-b": "\xe9"}
            )
    return found


def test_the_responses_have_the_recorded_names():
    assert set(responses()) == set(BASE_RESPONSES)
    assert len(BASE_RESPONSES) == 22


@pytest.mark.parametrize("name", sorted(BASE_RESPONSES))
def test_a_response_has_the_bytes_of_the_base(name):
    assert responses()[name].hex() == BASE_RESPONSES[name]


@pytest.fixture
def base_store(tmp_path: Path) -> Path:
    """Return the path of a copy of the store that the base wrote."""
    return Path(shutil.copy(HERE / "reservations.db", tmp_path))


def opened(path: Path, log: Callable[..., None] | None = None) -> ReservationStore:
    def fail(*line: object, **fields: object) -> None:
        raise AssertionError(f"{line} {fields}")

    store = ReservationStore(str(path), "power", log or fail, lambda: NOW)
    assert store.open()
    return store


def rows(path: Path) -> list[tuple[str, float]]:
    """Return the rows of the file, read directly with SQLite."""
    connection = apsw.Connection(str(path))
    try:
        return list(connection.execute("SELECT id, until FROM handed ORDER BY until"))
    finally:
        connection.close()


def test_loading_a_store_of_the_base_returns_its_ids(base_store):
    store = opened(base_store)
    found = list(store.load())
    store.close()
    expected = [(request_digest("\udcff no text"), NOW + 0.5)]
    expected += [(request_digest(f"request-{number}"), NOW + 60.0 * number) for number in range(1, 5)]
    assert found == expected


def test_a_store_of_the_base_accepts_further_writes_and_deletions(base_store):
    store = opened(base_store)
    assert store.persist([(request_digest("new"), NOW + 600.0), (request_digest("request-1"), NOW + 700.0)])
    store.delete([request_digest("request-2")])
    store.close()
    again = opened(base_store)
    found = dict(again.load())
    again.close()
    assert found[request_digest("new")] == NOW + 600.0
    assert found[request_digest("request-1")] == NOW + 700.0
    assert request_digest("request-2") not in found
    assert len(found) == 5


def test_a_new_store_has_the_tables_and_rows_of_the_base(base_store, tmp_path):
    def schema(path: Path) -> tuple[object, ...]:
        connection = apsw.Connection(str(path))
        try:
            tables = list(connection.execute("SELECT type, name, sql FROM sqlite_schema ORDER BY name"))
            return connection.pragma("user_version"), tables
        finally:
            connection.close()

    new = tmp_path / "new.db"
    store = opened(new)
    store.persist([(request_digest("request-1"), NOW + 60.0)])
    store.close()
    assert schema(new) == schema(base_store)
    assert rows(new) == [row for row in rows(base_store) if row[0] == request_digest("request-1")]


def test_a_store_with_another_schema_version_is_set_aside(base_store):
    connection = apsw.Connection(str(base_store))
    connection.pragma("user_version", 2)
    connection.close()
    lines = []
    store = opened(base_store, lambda *line, **fields: lines.append(line[0]))
    assert list(store.load()) == []
    assert lines == ["store.set_aside"]
    store.close()
