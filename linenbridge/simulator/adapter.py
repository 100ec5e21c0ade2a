"""Adapter between the simulator and the decision module.

Each event becomes a call of the decision module, and each decision a message. `SimulatorAdapter` has the
gateways of one process, their timers and the numbered endpoint lists; it processes a batch of events and
returns the messages in reply. `serve` reads batches and writes replies as lines of JSON.
"""

from __future__ import annotations

import sys
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
from linenbridge.interface import SECOND, EndpointEntry, InstanceState, Outcome, RolloutPhase
from linenbridge.policy import DecisionModule
from linenbridge.simulator import messages as wire
from linenbridge.startup import LOAD_REPORT_FIELDS, LONG_AGO, micros, startup

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
POLLED, PARTIAL, POLL_FAILED = range(1, 4)  # values of `form` in an endpoint update; 0 is a pushed list
VOTE_RESPONSE = 1  # `code` of a rollout update that is the response to a vote
UNREADABLE = 2  # exit code for a batch that can't be decoded

Reply = dict[str, Any]  # one message to the simulator: {name: fields}


class SimulatorAdapter:
    """The gateways of one process; they share only the numbered endpoint lists."""

    def __init__(self) -> None:
        self.endpoint_lists: dict[int, list[EndpointEntry]] = {}
        self.gateways: dict[int, DecisionModule] = {}
        self.armed: dict[int, int] = {}  # by gateway_id: the time at which its timer fires, in microseconds
        self.now = 0  # the simulator's clock, in microseconds

    def run(self, batch: wire.Batch) -> list[Reply]:
        """Apply all events in their order, then return the decisions of each gateway that had an event.

        If an event or a decision of a gateway raises an exception, that gateway gets `internal_error`.
        """
        self.now = micros(batch.clock)
        touched: dict[int, None] = {}
        failures: dict[int, str] = {}
        for event in batch.events:
            message = event.message()
            if isinstance(message, wire.EndpointList):
                self.endpoint_lists[message.list_number] = [_endpoint_entry(row) for row in message.rows]
            elif isinstance(message, wire.GatewayStopped):
                self._remove_gateway(message.gateway_id)
                touched.pop(message.gateway_id, None)
            else:
                touched[message.gateway_id] = None
                if message.gateway_id not in failures:
                    self._try_apply(message, failures)
        replies: list[Reply] = []
        for gateway_id in touched:
            if gateway_id not in failures:
                self._try_collect(gateway_id, replies, failures)
            if gateway_id in failures:
                fields = {"gateway_id": gateway_id, "what": failures[gateway_id]}
                replies.append({"internal_error": fields})
        return replies

    def _try_apply(self, message: Any, failures: dict[int, str]) -> None:
        try:
            self._apply(message)
        except Exception as error:  # reported for this gateway; the others continue
            failures[message.gateway_id] = (
                f"{wire.MESSAGE_NAMES[type(message)]}: {type(error).__name__}: {error}"
            )

    def _try_collect(self, gateway_id: int, replies: list[Reply], failures: dict[int, str]) -> None:
        try:
            self._collect(gateway_id, replies)
        except Exception as error:  # reported for this gateway; the others continue
            failures[gateway_id] = f"deciding: {type(error).__name__}: {error}"

    def _remove_gateway(self, gateway_id: int) -> None:
        self.gateways.pop(gateway_id, None)
        self.armed.pop(gateway_id, None)

    def _apply(self, message: Any) -> None:
        if isinstance(message, wire.GatewayStarted):
            self._remove_gateway(message.gateway_id)
            module = DecisionModule(startup(message.settings), message.random_seed, self.now)
            self.gateways[message.gateway_id] = module
            return
        gateway = self.gateways.get(message.gateway_id)
        if gateway is None:
            raise ValueError(f"gateway_id {message.gateway_id} was never attached")
        names_method = isinstance(message, wire.RequestReceived | wire.InstanceFlagged)
        if names_method and message.method not in gateway.method_indices:
            raise ValueError(f"profile {message.method!r} is not among the settings")
        if isinstance(message, wire.RequestReceived | wire.ClientDisconnected):
            self._apply_client(gateway, message)
        elif isinstance(message, wire.AttemptFinished | wire.ResponseStarted):
            self._apply_attempt(gateway, message)
        else:
            self._apply_control(gateway, message)

    def _apply_client(
        self, gateway: DecisionModule, message: wire.RequestReceived | wire.ClientDisconnected
    ) -> None:
        if isinstance(message, wire.ClientDisconnected):
            gateway.on_client_disconnected(self.now, message.rpc_id)
            return
        work = None if message.work is None else micros(message.work)
        gateway.on_request(
            self.now,
            message.rpc_id,
            message.method,
            micros(message.deadline),
            work,
            str(message.tenant),
            message.key,
        )

    def _apply_attempt(
        self, gateway: DecisionModule, message: wire.AttemptFinished | wire.ResponseStarted
    ) -> None:
        if isinstance(message, wire.ResponseStarted):
            gateway.on_response_started(self.now, message.rpc_id, message.attempt)
            return
        load = {
            LOAD_REPORT_FIELDS[name]: value
            for name, value in message.load.items()
            if name in LOAD_REPORT_FIELDS
        }
        gateway.on_attempt_finished(
            self.now,
            message.rpc_id,
            message.attempt,
            OUTCOMES[message.outcome],
            message.final,
            micros(message.duration),
            load,
        )

    def _apply_control(self, gateway: DecisionModule, message: Any) -> None:
        match message:
            case wire.EndpointUpdate():
                self._update_endpoints(gateway, message)
            case wire.RolloutUpdate():
                self._update_rollout(gateway, message)
            case wire.TallyUpdate():
                duration, ended_at = micros(message.duration), self.now - micros(message.ended_before)
                gateway.on_tally(
                    self.now,
                    message.build,
                    message.method,
                    message.attempts,
                    message.failed,
                    duration,
                    ended_at,
                )
            case wire.GossipReceived():
                self._receive_gossip(gateway, message)
            case wire.InstanceFlagged():
                gateway.on_flag(self.now, message.instance, message.method, self.now)
            case wire.TimerElapsed():
                if message.timer == str(self.armed.get(message.gateway_id)):
                    del self.armed[message.gateway_id]
            case wire.ProbeFinished():
                pass  # this gateway sends no probes

    def _update_endpoints(self, gateway: DecisionModule, message: wire.EndpointUpdate) -> None:
        if message.form == POLL_FAILED:
            gateway.on_endpoint_list_failed(self.now)
            return
        if message.list_number not in self.endpoint_lists:
            raise ValueError(f"bank {message.list_number} names no roster")
        gateway.on_endpoint_list(
            self.now,
            self.endpoint_lists[message.list_number],
            is_snapshot=message.form != PARTIAL,
            is_poll_response=message.form in (POLLED, PARTIAL),
        )

    def _update_rollout(self, gateway: DecisionModule, message: wire.RolloutUpdate) -> None:
        gateway.on_rollout_update(
            self.now,
            message.build,
            message.stage,
            RolloutPhase(message.phase),
            message.cap,
            is_vote_response=message.code == VOTE_RESPONSE,
            is_valid=message.outcome == "S",
            is_stale=message.outcome == "N",
        )

    def _receive_gossip(self, gateway: DecisionModule, message: wire.GossipReceived) -> None:
        try:
            payload = bytes.fromhex(message.payload)
        except ValueError:
            return
        gateway.on_gossip(self.now, message.peer, payload)

    def _collect(self, gateway_id: int, replies: list[Reply]) -> None:
        gateway = self.gateways[gateway_id]
        while (decision := gateway.next_decision(self.now)) is not None:
            replies.append(_reply(gateway_id, decision))
        wake_at = gateway.wake_at()
        armed_at = self.armed.get(gateway_id)
        if wake_at is not None and (armed_at is None or wake_at < armed_at):
            self.armed[gateway_id] = wake_at
            span = max(0, wake_at - self.now) / SECOND
            replies.append({"arm": {"gateway_id": gateway_id, "span": span, "mark": str(wake_at)}})


def _endpoint_entry(row: wire.EndpointRow) -> EndpointEntry:
    started_at = micros(row.started_at) if row.started_at else LONG_AGO
    return EndpointEntry(
        row.instance, row.build, row.zone, row.cell, InstanceState(row.state), row.size, started_at
    )


def _reply(gateway_id: int, decision: Decision) -> Reply:
    """Return the message for a decision."""
    fields: dict[str, Any]
    match decision:
        case SendAttempt(rpc_id=rpc_id, instance=instance, timeout=timeout):
            name = "issue"
            fields = {"handle": rpc_id, "instance": instance, "give_up_after": timeout / SECOND}
        case CancelAttempt(rpc_id=rpc_id, attempt=attempt):
            name = "revoke"
            fields = {"handle": rpc_id, "hop": attempt}
        case Reject(rpc_id=rpc_id, retry_after=retry_after):
            name = "say_no"
            fields = {"handle": rpc_id, "retry_in": retry_after / SECOND}
        case Fail(rpc_id=rpc_id):
            name = "abort"
            fields = {"handle": rpc_id}
        case CastVote(build=build, stage=stage, vote=vote):
            name = "ballot"
            fields = {"rel": build, "wave": stage, "code": vote}
        case Gossip(peer=peer, payload=payload):
            name = "post"
            fields = {"peer": "*" if peer is None else peer, "contents": payload.hex()}
        case WatchEndpoints():
            name = "listen"
            fields = {"active": True}
        case LogMessage(event=event, fields=named):
            name = "trace"
            fields = {"what": " ".join([event, *(f"{key}={value}" for key, value in named.items())])}
        case _:
            raise ValueError(f"no message for the decision {decision!r}")
    return {name: {"gateway_id": gateway_id, **fields}}


def serve(lines: BinaryIO, replies: BinaryIO) -> int:
    """Write a reply to each batch until the end of input.

    Return the exit code: 0 at the end of input, or 2 after a batch that can't be decoded.
    """
    adapter = SimulatorAdapter()
    decoder = msgspec.json.Decoder(wire.Batch)
    for line in lines:
        if not line.strip():
            continue
        try:
            steps = adapter.run(decoder.decode(line))
        except (msgspec.DecodeError, ValueError) as error:
            print(f"linenbridge.simulator: cannot read the batch: {error}", file=sys.stderr)
            return UNREADABLE
        replies.write(msgspec.json.encode({"steps": steps}) + b"\n")
        replies.flush()
    return 0
