"""Writes `data/simulator.jsonl.gz`: batches of the simulator with the replies of commit 4d24a08.

    git clone . ../base && cd ../base && git checkout 4d24a08 && ln -s ../linenbridge/.venv .venv
    HERE=../linenbridge/tests/compatibility
    .venv/bin/python $HERE/record_simulator.py $HERE/data

Each day is one process of the simulator with several gateways under different settings: endpoint lists of
every form, requests, attempts that end in every way, rollout updates, tallies, gossip, objections, gateways
that restart, unknown and absent keys, and messages that a gateway answers with an error. Unreadable lines
follow, each in a separate process. A line of the record holds the name of a day
or case, the batch, the reply, and the exit code where the process ends.
"""

from __future__ import annotations

import gzip
import io
import json
import os
import sys
from pathlib import Path
from random import Random
from typing import Any

COMMIT = "4d24a08"
DAYS = 6
BATCHES = 150
PROFILES = ("look", "book", "pay")


def settings(dice: Random) -> dict[str, Any]:
    """Return a settings object with every key, or with some keys absent."""
    full = dice.random() < 0.7
    family = {
        "gate_mode": dice.choice(("any", "share", "timer")),
        "style": dice.choice(("beside", "in_place")),
        "shares": [0.1, 0.5, 1.0],
        "caps": [0.12, 0.6, 1.0],
        "closed_stages": dice.randrange(2),
        "per": dice.choice(("all", "class")),
        "spare_tries": 2.0,
        "forward_only": dice.random() < 0.5,
        "vote_stands": 6.0,
        "answer_wait": 1.0,
    }
    permissions = {
        "max_attempts": 3,
        "second_copies": dice.random() < 0.6,
        "may_cancel": dice.random() < 0.6,
        "retry_after": dice.random() < 0.6,
        "max_retry_after": 1.0,
        "idle_close": 15.0,
        "connect_timeout": 0.2,
    }
    effects = zip(PROFILES, ("repeatable", "once", "by_key"), strict=True)
    found = {
        "discovery": dice.choice(("push", "ask")),
        "profiles": [
            {"name": name, "aim": 0.2 + 0.1 * n, "give_up": 2.0, "worth": 1.0 + n, "idempotency": effect}
            for n, (name, effect) in enumerate(effects)
        ],
        "family_info": family,
        "permissions": permissions,
        "rules": {"cold_from": 0.3, "cold": 4.0, "fall_multiple": 2.0},
    }
    if full:
        found |= {
            "tenants": [{"name": "north", "share": 0.3}],
            "value_by": dice.choice(("request", "work")),
            "over_share_worth": 0.5,
            "slot_no": dice.randrange(4),
            "balancers": 4,
            "not_known": {"a": 1},
        }
        family |= {"back_votes": 2, "metrics_period": 1.0, "api_rate": 16.0, "not_known": 1}
        permissions |= {"may_tell": True}
        found["profiles"][2] |= {"group": "zone", "window": 3.0, "not_known": None}
    return found


class Day:
    """Generates the events around the gateways of one process, depending on their replies."""

    def __init__(self, seed: int) -> None:
        self.dice = Random(f"simulator {seed}")
        self.clock = 1.0
        self.gateways: dict[int, str] = {}  # kind of endpoint discovery by gateway
        self.count = 0
        self.open: dict[tuple[int, str], int] = {}
        self.due: list[tuple[float, int, str, int, int]] = []
        self.marks: list[tuple[int, str]] = []
        self.state = {"rel": 1, "wave": 2, "course": 2, "limit_share": 1.0}

    def events(self, number: int) -> list[dict[str, Any]]:
        dice = self.dice
        self.clock = round(self.clock + dice.choice((0.004, 0.02, 0.11)), 6)
        found: list[dict[str, Any]] = []
        if number == 0:
            found += self._start(range(1, 4))
        if number == BATCHES // 2:
            found += [{"down": {"gateway_id": 1}}, *self._start([1])]
            self._forget(1)
        if number % 12 == 0:
            found += self._lists()
        if number % 7 == 3:
            found += self._platform()
        for gateway in sorted(self.gateways):
            found += [self._request(gateway) for _ in range(dice.randrange(4))]
        found += self._ends()
        return found

    def _start(self, ids: Any) -> list[dict[str, Any]]:
        rows = []
        for gateway in ids:
            info = settings(self.dice)
            self.gateways[gateway] = info["discovery"]
            rows.append(
                {"attach": {"gateway_id": gateway, "random_seed": gateway * 7, "info": info, "not_known": 1}}
            )
        return rows

    def _forget(self, gateway: int) -> None:
        self.open = {key: hops for key, hops in self.open.items() if key[0] != gateway}
        self.due = [row for row in self.due if row[1] != gateway]
        self.marks = [row for row in self.marks if row[0] != gateway]

    def _lists(self) -> list[dict[str, Any]]:
        dice, rows = self.dice, []
        for instance in range(1, 13):
            row: dict[str, Any] = {
                "instance": instance,
                "edition": dice.choice((1, 1, 2)),
                "health": dice.choice((1, 1, 1, 2, 0)),
            }
            if dice.random() < 0.8:
                row |= {
                    "rack_zone": "abc"[instance % 3],
                    "block": instance % 4,
                    "power_hint": 1.0 + instance % 2,
                }
                row |= {"since": dice.choice((0.0, 0.5, self.clock - 0.3)), "not_known": 1}
            rows.append(row)
        found: list[dict[str, Any]] = [{"roster": {"bank": 5, "rows": rows}}]
        for gateway in sorted(self.gateways):
            form = dice.choice((0, 0, 1, 2, 3))
            fields = {"gateway_id": gateway, "form": form}
            found.append({"announce": fields if form == 3 else {**fields, "bank": 5, "serial": 1}})
        return found

    def _platform(self) -> list[dict[str, Any]]:
        dice, found = self.dice, []
        course = dice.choice((0, 0, 0, 1, 2, 3))
        self.state = {
            "rel": 2,
            "wave": dice.randrange(3),
            "course": course,
            "limit_share": dice.choice((0.12, 0.6, 1.0)),
        }
        for gateway in sorted(self.gateways):
            found.append({"release_state": {"gateway_id": gateway, "outcome": "S", "code": 0, **self.state}})
            n = dice.randrange(80)
            found.append(
                {
                    "metrics": {
                        "gateway_id": gateway,
                        "rel": dice.choice((1, 2)),
                        "profile": dice.choice(PROFILES),
                        "n": n,
                        "lost": n // 3,
                        "delay_seen": 0.08,
                        "since": 0.4,
                    }
                }
            )
            contents = dice.choice(("", "zz", "00", bytes(dice.randrange(256) for _ in range(24)).hex()))
            found.append({"inbox": {"gateway_id": gateway, "src": dice.randrange(5), "contents": contents}})
            found.append(
                {"objection": {"gateway_id": gateway, "instance": dice.randrange(1, 14), "profile": "look"}}
            )
            found.append({"checked": {"gateway_id": gateway, "anything": 1}})
        if dice.random() < 0.2:
            found.append(
                dice.choice(
                    (
                        {"new_request": {"gateway_id": 1, "handle": "wrong", "ttl": 1.0, "profile": "none"}},
                        {"announce": {"gateway_id": 2, "form": 0, "bank": 99}},
                        {"expired": {"gateway_id": 77, "handle": "r"}},
                    )
                )
            )
        return found

    def _request(self, gateway: int) -> dict[str, Any]:
        dice = self.dice
        self.count += 1
        handle = f"r{self.count}"
        self.open[gateway, handle] = 0
        fields: dict[str, Any] = {
            "gateway_id": gateway,
            "handle": handle,
            "ttl": round(dice.uniform(0.1, 2.0), 3),
            "profile": dice.choice(PROFILES),
        }
        if dice.random() < 0.6:
            fields |= {
                "realm": dice.choice(("north", "south", 7)),
                "estimate": dice.choice((None, 0.004, 0.05)),
                "subject": dice.choice((None, 11, 12)),
                "not_known": [],
            }
        return {"new_request": fields}

    def _ends(self) -> list[dict[str, Any]]:
        dice, found = self.dice, []
        ready = [row for row in self.due if row[0] <= self.clock]
        self.due = [row for row in self.due if row[0] > self.clock]
        for _, gateway, handle, hop, instance in ready:
            if dice.random() < 0.1:
                found.append({"first": {"gateway_id": gateway, "handle": handle, "hop": hop}})
            outcome = dice.choices("SEFTCRXN", (60, 8, 6, 5, 4, 4, 2, 3))[0]
            final = outcome == "S" and (gateway, handle) in self.open
            if final:
                del self.open[gateway, handle]
            final = final or (gateway, handle) not in self.open
            fields: dict[str, Any] = {
                "gateway_id": gateway,
                "handle": handle,
                "hop": hop,
                "outcome": outcome,
                "final": final,
                "delay_seen": round(dice.uniform(0.005, 0.4), 4),
                "instance": instance,
            }
            fields["feedback"] = dice.choice(
                (
                    {},
                    {"rif": 3, "q": 1},
                    {"busy": 0.7, "lat_ms": 12.5},
                    {"inflight": 2, "queue": 0, "not_known": 4},
                    {"util": 0.4, "latency_ms": 8},
                )
            )
            found.append({"reply": fields})
        if self.open and dice.random() < 0.2:
            gateway, handle = dice.choice(sorted(self.open))
            del self.open[gateway, handle]
            found.append({"expired": {"gateway_id": gateway, "handle": handle}})
        if self.marks and dice.random() < 0.7:
            found += [{"elapsed": {"gateway_id": gateway, "mark": mark}} for gateway, mark in self.marks]
            self.marks = []
        return found

    def take(self, steps: list[dict[str, Any]]) -> list[dict[str, Any]]:
        """Process the replies and return the answers to votes, which are sent at once in a separate batch."""
        answers = []
        for step in steps:
            ((name, fields),) = step.items()
            gateway = fields["gateway_id"]
            if name == "issue":
                key = gateway, fields["handle"]
                hop = self.open.get(key, 0)
                self.open[key] = hop + 1
                wait = min(fields["give_up_after"], self.dice.choice((0.005, 0.03, 0.2, 3.0)))
                self.due.append((self.clock + wait, gateway, fields["handle"], hop, fields["instance"]))
            elif name in ("say_no", "abort"):
                self.open.pop((gateway, fields["handle"]), None)
            elif name == "arm":
                self.marks.append((gateway, fields["mark"]))
            elif name == "ballot":
                outcome = self.dice.choice("SSSNFET")
                answers.append(
                    {"release_state": {"gateway_id": gateway, "outcome": outcome, "code": 1, **self.state}}
                )
        return answers


UNREADABLE: tuple[bytes, ...] = (
    b"nothing\n",
    b'{"clock": 1.0}\n',
    b'{"clock": "x", "news": []}\n',
    b'{"clock": 1.0, "news": [{}]}\n',
    b'{"clock": 1.0, "news": [{"not_known": {}}]}\n',
    b'{"clock": 1.0, "news": [{"down": {"gateway_id": 1}, "checked": {"gateway_id": 1}}]}\n',
    b'{"clock": 1.0, "news": [{"new_request": {"gateway_id": 1, "handle": 1, "ttl": 1, "profile": "a"}}]}\n',
    b'{"clock": 1.0, "news": [{"reply": {"gateway_id": 1, "handle": "a", "outcome": "Q"}}]}\n',
    b'{"clock": 1.0, "news": [{"roster": {"bank": 0, "rows": [{"instance": 1, "edition": 1, "health": 7}]}}]}'
    b"\n",
    b"\n\n",
    b'\n{"clock": 1, "news": [], "not_known": 1}\n',
)


def main(target: Path) -> None:
    sys.path.insert(0, os.getcwd())
    import msgspec

    from linenbridge.wirehost import messages as wire
    from linenbridge.wirehost.adapter import Host, serve

    decoder, kinds = msgspec.json.Decoder(wire.Batch), set[str]()
    lines = [{"commit": COMMIT}]
    for seed in range(DAYS):
        day, host = Day(seed), Host()
        more: list[dict[str, Any]] = []
        for number in range(BATCHES):
            batch = json.dumps({"clock": day.clock, "news": more}) if more else ""
            if not batch:
                news = day.events(number)
                batch = json.dumps({"clock": day.clock, "news": news, "not_known": number})
            steps = host.batch(decoder.decode(batch.encode()))
            kinds |= {name for step in steps for name in step}
            more = day.take(json.loads(json.dumps(steps)))
            lines.append(
                {
                    "name": f"day {seed}",
                    "batch": batch,
                    "reply": msgspec.json.encode({"steps": steps}).decode(),
                }
            )
    for number, batch in enumerate(UNREADABLE):
        replies, errors = io.BytesIO(), io.StringIO()
        earlier, sys.stderr = sys.stderr, errors
        code = serve(io.BytesIO(batch), replies)
        sys.stderr = earlier
        what = errors.getvalue().partition(": ")[2]
        lines.append(
            {
                "name": f"unreadable {number}",
                "batch": batch.decode(),
                "reply": replies.getvalue().decode(),
                "code": code,
                "error": what,
            }
        )
    data = "".join(json.dumps(line) + "\n" for line in lines).encode()
    (target / "simulator.jsonl.gz").write_bytes(gzip.compress(data, 9, mtime=0))
    print(len(lines) - 1, "lines", sorted(kinds), len(data), "bytes")


if __name__ == "__main__":
    main(Path(sys.argv[1]).resolve())
