"""Writes `responses.json` and `reservations.db` in the folder of this file with the code of commit 4d24a08.

    cd CHECKOUT_OF_4d24a08 && python PATH/TO/record_processor.py

The script uses the names of that commit and is not run again; it is kept to document how the files were made.
"""

from __future__ import annotations

import json
from pathlib import Path

from linenbridge.processor import wording
from linenbridge.processor.answers import AnswerForm
from linenbridge.processor.store import Store, digest

HERE = Path(__file__).parent
NOW = 1_000_000.0  # Unix seconds, the time of the store's clock
KINDS = (
    "request_headers", "request_body", "request_trailers",
    "response_headers", "response_body", "response_trailers",
)  # fmt: skip


def responses() -> dict[str, str]:
    """Return each response by its name, in hexadecimal digits."""
    form, plain = AnswerForm(), AnswerForm(metadata="")
    found = {
        "dispatch": form.hand_out(False, "10.0.0.1:7001", "0123456789abcdef.7", 900_000, 100_000),
        "dispatch, gRPC": form.hand_out(True, "[::1]:7001", "0123456789abcdef.7", 900_999, 999),
        "dispatch, no metadata": plain.hand_out(False, "10.0.0.1:7001", "a.1", 1, 0),
        "dispatch, late": form.hand_out(False, "10.0.0.1:7001", "a.1", -5, -5),
        "reject": form.pushed_back_by(False, 0, "try again"),
        "reject, wait": form.pushed_back_by(False, 1_500_001, "try again"),
        "reject, gRPC": form.pushed_back_by(True, 250_000, "try again"),
        "fail": form.final(False, form.aborted, {form.outcome: "aborted"}, "aborted"),
        "fail, gRPC": form.final(True, form.aborted, {form.outcome: "aborted"}, "aborted"),
        "timed out": form.final(False, form.timed_out, {form.outcome: "timed_out"}, "aborted"),
        "unrouted": form.final(False, form.unrouted, {}, "no route takes this request"),
        "unrouted, gRPC": form.final(True, form.unrouted, {}, "no route takes this request"),
    }
    for kind in KINDS:
        found[f"continue {kind}"] = wording.go_on(kind)
        if "body" not in kind:
            found[f"continue {kind}, headers"] = wording.go_on(
                kind, {"x-linenbridge-again": "1", "x-b": "\xe9"}
            )
    return {name: data.hex() for name, data in found.items()}


def reservations() -> None:
    """Write the reservation store."""
    path = HERE / "reservations.db"
    path.unlink(missing_ok=True)
    store = Store(str(path), "power", lambda *row, **fields: print(row, fields), lambda: NOW)
    if not store.open():
        raise SystemExit("no store")
    rows = [(digest(f"request-{number}"), NOW + 60.0 * number) for number in range(-2, 6)]
    rows.append((digest("\udcff no text"), NOW + 0.5))
    store.keep(rows)
    store.forget([digest("request-5")])
    store.close()


if __name__ == "__main__":
    (HERE / "responses.json").write_text(json.dumps(responses(), indent=1, sort_keys=True) + "\n")
    reservations()
