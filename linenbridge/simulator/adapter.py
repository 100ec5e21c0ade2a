"""Between the wire and the decisions: each event becomes a call, each decision a message."""

from __future__ import annotations

import sys
from collections.abc import Callable
from typing import Any, BinaryIO

import msgspec

from linenbridge.decisions import (
    CancelAttempt,
    CastVote,
    Decision,
    Fail,
    Gossip,
    LogMessage,
    Reject,
    SendAttempt,
    WatchEndpoints,
)
from linenbridge.interface import EndpointEntry, InstanceState, Outcome, RolloutPhase
from linenbridge.policy import DecisionModule
from linenbridge.startup import LOADS, LONG_AGO, micros, startup
from linenbridge.simulator import messages as wire

OUTCOMES = {
    "S": Outcome.OK,
    "E": Outcome.ERROR,
    "F": Outcome.OVERLOADED,
    "T": Outcome.TIMED_OUT,
    "C": Outcome.CONNECT_FAILED,
    "R": Outcome.CONNECTION_LOST,
    "X": Outcome.CANCELLED,
    "N": Outcome.NOT_SENT,
}


class Host:
    """The gateways of one process; nothing is shared between them but the numbered lists."""

    def __init__(self) -> None:
        self.lists: dict[int, list[EndpointEntry]] = {}
        self.gateways: dict[int, DecisionModule] = {}
        self.armed: dict[int, int] = {}
        self.now = 0
        self.handlers: dict[str, Callable[[DecisionModule, Any], None]] = {
            "announce": self.announce,
            "new_request": self.new_request,
            "expired": self.expired,
            "release_state": self.release_state,
            "metrics": self.metrics,
            "first": self.first,
            "reply": self.reply,
            "objection": self.objection,
            "elapsed": self.elapsed,
            "inbox": self.inbox,
            "checked": self.unused,
        }

    def batch(self, batch: wire.Batch) -> list[dict[str, Any]]:
        """Take in all events in their order, then pull what each gateway that had one decides."""
        self.now = micros(batch.clock)
        touched: dict[int, None] = {}
        failed: dict[int, str] = {}
        for event in batch.news:
            name, message = event.only()
            if name == "roster":
                self.lists[message.bank] = [entry(row) for row in message.rows]
                continue
            gateway_id = message.gateway_id
            if name == "down":
                self.forget(gateway_id)
                touched.pop(gateway_id, None)
                continue
            touched[gateway_id] = None
            if gateway_id not in failed:
                try:
                    self.take(name, message)
                except Exception as error:
                    failed[gateway_id] = f"{name}: {type(error).__name__}: {error}"
        steps: list[dict[str, Any]] = []
        for gateway_id in touched:
            if gateway_id not in failed:
                try:
                    self.pull(gateway_id, steps)
                except Exception as error:
                    failed[gateway_id] = f"deciding: {type(error).__name__}: {error}"
            if gateway_id in failed:
                steps.append({"internal_error": {"gateway_id": gateway_id, "what": failed[gateway_id]}})
        return steps

    def forget(self, gateway_id: int) -> None:
        self.gateways.pop(gateway_id, None)
        self.armed.pop(gateway_id, None)

    def take(self, name: str, message: Any) -> None:
        if name == "attach":
            self.forget(message.gateway_id)
            self.gateways[message.gateway_id] = DecisionModule(
                startup(message.info), message.random_seed, self.now
            )
            return
        gateway = self.gateways.get(message.gateway_id)
        if gateway is None:
            raise ValueError(f"gateway_id {message.gateway_id} was never attached")
        profile = getattr(message, "profile", None)
        if profile is not None and profile not in gateway.method_indices and name != "metrics":
            raise ValueError(f"profile {profile!r} is not among the settings")
        self.handlers[name](gateway, message)

    def announce(self, gateway: DecisionModule, message: wire.Announce) -> None:
        if message.form == 3:
            gateway.on_endpoint_list_failed(self.now)
            return
        if message.bank not in self.lists:
            raise ValueError(f"bank {message.bank} names no roster")
        entries = self.lists[message.bank]
        gateway.on_endpoint_list(
            self.now, entries, is_snapshot=message.form != 2, is_poll_response=message.form != 0
        )

    def new_request(self, gateway: DecisionModule, message: wire.NewRequest) -> None:
        work = None if message.estimate is None else micros(message.estimate)
        ttl, tenant = micros(message.ttl), str(message.realm)
        gateway.on_request(self.now, message.handle, message.profile, ttl, work, tenant, message.subject)

    def expired(self, gateway: DecisionModule, message: wire.Expired) -> None:
        gateway.on_client_disconnected(self.now, message.handle)

    def release_state(self, gateway: DecisionModule, message: wire.ReleaseState) -> None:
        gateway.on_rollout_update(
            self.now,
            message.rel,
            message.wave,
            RolloutPhase(message.course),
            message.limit_share,
            is_vote_response=message.code == 1,
            is_valid=message.outcome == "S",
            is_stale=message.outcome == "N",
        )

    def metrics(self, gateway: DecisionModule, message: wire.Metrics) -> None:
        took = micros(message.delay_seen)
        ended = self.now - micros(message.since)
        gateway.on_tally(self.now, message.rel, message.profile, message.n, message.lost, took, ended)

    def inbox(self, gateway: DecisionModule, message: wire.Inbox) -> None:
        try:
            words = bytes.fromhex(message.contents)
        except ValueError:
            return
        gateway.on_gossip(self.now, message.src, words)

    def first(self, gateway: DecisionModule, message: wire.First) -> None:
        gateway.on_response_started(self.now, message.handle, message.hop)

    def reply(self, gateway: DecisionModule, message: wire.Reply) -> None:
        load = {LOADS[name]: value for name, value in message.feedback.items() if name in LOADS}
        outcome, took = OUTCOMES[message.outcome], micros(message.delay_seen)
        gateway.on_attempt_finished(self.now, message.handle, message.hop, outcome, message.final, took, load)

    def objection(self, gateway: DecisionModule, message: wire.Objection) -> None:
        gateway.on_flag(self.now, message.instance, message.profile, self.now)

    def elapsed(self, gateway: DecisionModule, message: wire.Elapsed) -> None:
        if message.mark == str(self.armed.get(message.gateway_id)):
            del self.armed[message.gateway_id]

    def unused(self, gateway: DecisionModule, message: Any) -> None:
        """Probe results: this gateway sends no probes, so nothing hangs on them."""

    def pull(self, gateway_id: int, steps: list[dict[str, Any]]) -> None:
        gateway = self.gateways[gateway_id]
        while (decision := gateway.next_decision(self.now)) is not None:
            steps.append(step(gateway_id, decision))
        wake, armed = gateway.wake_at(), self.armed.get(gateway_id)
        if wake is not None and (armed is None or wake < armed):
            self.armed[gateway_id] = wake
            span = max(0, wake - self.now) / 1e6
            steps.append({"arm": {"gateway_id": gateway_id, "span": span, "mark": str(wake)}})


def entry(row: wire.Row) -> EndpointEntry:
    started = micros(row.since) if row.since else LONG_AGO
    return EndpointEntry(
        row.instance,
        row.edition,
        row.rack_zone,
        row.block,
        InstanceState(row.health),
        row.power_hint,
        started,
    )


def step(gateway_id: int, decision: Decision) -> dict[str, Any]:
    """One decision as one message."""
    match decision:
        case SendAttempt(rpc_id=rpc_id, instance=instance, timeout=timeout):
            fields = {"handle": rpc_id, "instance": instance, "give_up_after": timeout / 1e6}
            name = "issue"
        case CancelAttempt(rpc_id=rpc_id, attempt=attempt):
            name, fields = "revoke", {"handle": rpc_id, "hop": attempt}
        case Reject(rpc_id=rpc_id, retry_after=retry_after):
            name, fields = "say_no", {"handle": rpc_id, "retry_in": retry_after / 1e6}
        case Fail(rpc_id=rpc_id):
            name, fields = "abort", {"handle": rpc_id}
        case CastVote(build=build, stage=stage, vote=vote):
            name, fields = "ballot", {"rel": build, "wave": stage, "code": vote}
        case Gossip(peer=peer, payload=payload):
            name, fields = "post", {"peer": "*" if peer is None else peer, "contents": payload.hex()}
        case WatchEndpoints():
            name, fields = "listen", {"active": True}
        case LogMessage(event=event, fields=named):
            text = " ".join([event, *(f"{key}={value}" for key, value in named.items())])
            name, fields = "trace", {"what": text}
        case _:
            raise ValueError(f"no message for the decision {decision!r}")
    return {name: {"gateway_id": gateway_id, **fields}}


def serve(lines: BinaryIO, replies: BinaryIO) -> int:
    """Answer batch after batch until the end of input; what cannot be read ends with a plain message."""
    host, decoder = Host(), msgspec.json.Decoder(wire.Batch)
    for line in lines:
        if not line.strip():
            continue
        try:
            steps = host.batch(decoder.decode(line))
        except (msgspec.DecodeError, ValueError) as error:
            print(f"linenbridge.simulator: cannot read the batch: {error}", file=sys.stderr)
            return 2
        replies.write(msgspec.json.encode({"steps": steps}) + b"\n")
        replies.flush()
    return 0
