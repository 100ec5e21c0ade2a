"""The store gives one complete version of a view or none, whatever happens to its file.

A lost version costs bytes at the next start but never makes a gateway serve a partial one.
"""

from __future__ import annotations

import os
import shutil
import threading
from pathlib import Path

import apsw
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from linenbridge.distribution.changes import Kind, Version
from linenbridge.distribution.decisions import Apply
from linenbridge.distribution.errors import ViewStoreError
from linenbridge.distribution.storage.view_store import (
    FORMAT_VERSION,
    SET_ASIDE_SUFFIX,
    ViewStore,
    fingerprint,
)
from linenbridge.distribution.view.view import View
from tests.distribution.view.helpers import (
    SERVICES,
    Incarnation,
    content,
    copy_after_kill,
    has_content,
    is_empty,
    new_view,
)
from tests.distribution.view.model import batch, change, tenant_value


def new_view_with(one: Apply) -> View:
    """Return a view after one batch."""
    view = new_view()
    view.apply(one)
    return view


def test_a_restart_restores_the_last_version_and_newer_changes_are_applied_to_it(stored: str) -> None:
    incarnation = Incarnation(stored)

    assert has_content(incarnation.view, 1, 0.5)
    assert incarnation.events == []
    assert incarnation.view.digest("eu") == new_view().apply(content(1, 0.5)).digest

    assert incarnation.apply(content(100, 0.25))

    assert has_content(Incarnation(copy_after_kill(stored)).view, 100, 0.25)


def test_deleted_keys_stay_deleted_after_a_restart(stored: str) -> None:
    incarnation = Incarnation(stored)
    incarnation.apply(batch(change(Kind.INSTANCE, "s3/i", b"", 200), change(Kind.ROUTES, "shop", b"", 201)))
    incarnation.apply(batch(change(Kind.TENANT, "t1", b"", 202), change(Kind.TENANT, "bad", b"", 203)))
    incarnation.store.close()

    view = Incarnation(stored).view

    assert view.instances("s3") == []
    assert view.routes("shop") is None
    assert view.tenant_quota("t1") is None
    assert view.rejected() == []
    assert view.instances("s4") != []


def test_an_older_copy_of_the_file_gives_its_version_and_newer_changes_are_applied_to_it(
    stored: str, tmp_path: Path
) -> None:
    older = shutil.copy(stored, tmp_path / "older.db")
    incarnation = Incarnation(stored)
    incarnation.apply(content(100, 0.25))
    incarnation.store.close()
    os.replace(older, stored)

    incarnation = Incarnation(stored)

    assert has_content(incarnation.view, 1, 0.5)
    assert incarnation.events == []
    assert incarnation.apply(content(100, 0.25))
    assert has_content(incarnation.view, 100, 0.25)


def test_a_missing_or_empty_file_gives_an_empty_view(stored: str) -> None:
    os.truncate(stored, 0)
    assert is_empty(Incarnation(stored).view)

    os.remove(stored)
    assert is_empty(Incarnation(stored).view)


DAMAGES = {
    "a row changed": "update page set body = zeroblob(length(body)) where kind = 3 and name = 's3'",
    "a row lost": "delete from page where kind = 3 and name = 's3'",
    "all rows lost": "delete from page",
    "a row renamed": "update page set name = 's99' where kind = 3 and name = 's3'",
    "the state lost": "delete from state",
    "the state changed": "update state set words = x'930000a0'",
    "the table dropped": "drop table page",
    "another format version": f"pragma user_version = {FORMAT_VERSION + 1}",
}


@pytest.mark.parametrize("statement", DAMAGES.values(), ids=DAMAGES)
def test_a_damaged_file_is_set_aside_and_a_new_one_is_written(stored: str, statement: str) -> None:
    connection = apsw.Connection(stored)
    connection.execute(statement)
    connection.close()

    incarnation = Incarnation(stored)

    assert is_empty(incarnation.view)
    assert incarnation.event_names() == ["distribution.store_set_aside"]
    assert os.path.exists(stored + SET_ASIDE_SUFFIX)
    assert incarnation.apply(content(1, 0.5))
    incarnation.store.close()
    assert has_content(Incarnation(stored).view, 1, 0.5)


def test_a_file_with_one_older_row_is_set_aside(stored: str) -> None:
    connection = apsw.Connection(stored)
    old = connection.execute("select * from page where kind = 3 and name = 's3'").fetchall()
    connection.close()
    incarnation = Incarnation(stored)
    incarnation.apply(content(100, 0.25))
    incarnation.store.close()
    connection = apsw.Connection(stored)
    connection.execute("insert or replace into page values (?, ?, ?, ?, ?, ?)", old[0])
    connection.close()

    incarnation = Incarnation(stored)

    assert is_empty(incarnation.view)
    assert incarnation.event_names() == ["distribution.store_set_aside"]


def test_routes_checked_against_other_methods_are_not_served(stored: str) -> None:
    incarnation = Incarnation(stored, fingerprint(["look"]))

    assert is_empty(incarnation.view)
    assert "other methods" in str(incarnation.events[0][1]["error"])


def test_a_file_whose_pages_do_not_fit_together_is_set_aside(stored: str) -> None:
    incarnation = Incarnation(stored)
    pages = new_view_with(content(1, 0.5)).take_changed_pages()
    page = next(page for page in pages if page.kind == Kind.INSTANCE)
    incarnation.store.write([page._replace(number=7)])
    incarnation.store.close()

    incarnation = Incarnation(stored)

    assert is_empty(incarnation.view)
    assert incarnation.event_names() == ["distribution.store_set_aside"]


@given(st.data())
@settings(max_examples=60, deadline=None)
def test_a_file_torn_or_damaged_anywhere_gives_a_complete_version_or_none(
    tmp_path_factory: pytest.TempPathFactory, data: st.DataObject
) -> None:
    """Bytes of the file or of its write-ahead log are cut off at the end, or overwritten."""
    path = str(tmp_path_factory.mktemp("torn") / "view.db")
    incarnation = Incarnation(path)
    incarnation.apply(content(1, 0.5))
    incarnation.store.close()
    incarnation = Incarnation(path)
    incarnation.apply(content(100, 0.25))
    torn = copy_after_kill(path)
    incarnation.store.close()
    victim = Path(torn + data.draw(st.sampled_from(["", "-wal"])))
    damaged = bytearray(victim.read_bytes())
    at = data.draw(st.integers(0, len(damaged) - 1))
    if data.draw(st.booleans()):
        del damaged[at:]
    else:
        damaged[at : at + 64] = data.draw(st.binary(min_size=1, max_size=64))
    victim.write_bytes(damaged)

    view = Incarnation(torn).view

    assert is_empty(view) or has_content(view, 1, 0.5) or has_content(view, 100, 0.25)


def test_a_full_disk_leaves_the_last_version_complete_and_the_gateway_running(stored: str) -> None:
    incarnation = Incarnation(stored)
    connection = incarnation.store.connection
    assert connection is not None
    connection.pragma("max_page_count", connection.pragma("page_count"))
    many = [change(Kind.TENANT, f"t{number}", tenant_value(0.1), 200 + number) for number in range(3000)]

    written = incarnation.apply(batch(*many))

    assert not written
    assert isinstance(incarnation.store.error, ViewStoreError)
    assert incarnation.event_names() == ["distribution.store_lost"]
    assert "FullError" in str(incarnation.events[0][1]["what"])
    assert incarnation.events[0][1]["do"]
    assert incarnation.view.tenant_quota("t7") == 0.1
    assert not incarnation.apply(batch(change(Kind.TENANT, "t1", b"", 9000)))
    assert has_content(Incarnation(stored).view, 1, 0.5)


def test_a_file_locked_by_another_process_is_neither_read_nor_written(stored: str) -> None:
    first = Incarnation(stored)

    second = Incarnation(stored)

    assert has_content(first.view, 1, 0.5)
    assert is_empty(second.view)
    assert second.event_names() == ["distribution.store_lost"]
    assert not second.apply(content(100, 0.25))
    assert first.apply(content(100, 0.25))


def test_a_missing_folder_is_reported_and_the_view_works_without_a_store(tmp_path: Path) -> None:
    incarnation = Incarnation(str(tmp_path / "none" / "view.db"))

    written = incarnation.apply(content(1, 0.5))

    assert incarnation.event_names() == ["distribution.store_lost"]
    assert not written
    assert incarnation.view.tenant_quota("t1") == 0.5


def test_a_file_that_cannot_be_written_still_serves_its_content(
    stored: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Writes fail as on a read-only disk; a file mode would have no effect for tests that run as root."""

    def fail_to_write(*_: object) -> None:
        raise apsw.ReadOnlyError("attempt to write a readonly database")

    monkeypatch.setattr(ViewStore, "_write_state", fail_to_write)

    incarnation = Incarnation(stored)

    assert has_content(incarnation.view, 1, 0.5)
    assert incarnation.event_names() == ["distribution.store_lost"]
    assert not incarnation.apply(content(100, 0.25))
    assert has_content(incarnation.view, 100, 0.25)
    monkeypatch.undo()
    assert has_content(Incarnation(stored).view, 1, 0.5)


def test_a_write_from_another_thread_is_stored(stored: str) -> None:
    incarnation = Incarnation(stored)
    incarnation.view.apply(content(100, 0.25))
    pages = incarnation.view.take_changed_pages()
    done: list[bool] = []

    thread = threading.Thread(target=lambda: done.append(incarnation.store.write(pages)))
    thread.start()
    thread.join()
    incarnation.store.close()

    assert done == [True]
    assert has_content(Incarnation(stored).view, 100, 0.25)


def test_a_position_is_never_ahead_of_its_pages(path: str) -> None:
    """Each version is written completely: a process killed between two writes leaves the earlier version."""
    incarnation = Incarnation(path)
    incarnation.apply(content(1, 0.5))
    incarnation.view.apply(content(100, 0.25))
    assert has_content(Incarnation(copy_after_kill(path)).view, 1, 0.5)

    incarnation.store.write(incarnation.view.take_changed_pages())

    assert has_content(Incarnation(copy_after_kill(path)).view, 100, 0.25)
    assert incarnation.view.positions()[0].version == Version(1, 102 + SERVICES)
