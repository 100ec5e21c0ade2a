"""The streams that wait for a response: to their request, or to the failure that they have reported.

Owns both kinds of waiting stream, at most one of each for an RPC. A stream leaves only with its response, or
when the proxy has ended it: also where a later stream of the same RPC takes its place.
"""

from __future__ import annotations

from linenbridge.processor import codec
from linenbridge.processor.reservations import RpcEntry
from linenbridge.processor.responses import ResponseFormat
from linenbridge.processor.stream_phases import MessageKind
from linenbridge.processor.stream_session import StreamSession


class PendingResponses:
    """The waiting streams of all RPCs, by RPC id; `retry_headers` tell a proxy to retry."""

    def __init__(self, response_format: ResponseFormat, retry_headers: dict[str, str]) -> None:
        self.format = response_format
        self.retry_headers = retry_headers
        self.decisions: dict[str, StreamSession] = {}
        self.reports: dict[str, StreamSession] = {}

    def await_decision(self, entry: RpcEntry, session: StreamSession) -> None:
        """Let a stream wait for the decision on its RPC; the streams of earlier attempts wait no longer."""
        self.answer_report(entry, self.retry_headers)
        self.reject(entry, "a later attempt has begun")
        self.decisions[entry.id] = session

    def await_retry(self, entry: RpcEntry, session: StreamSession) -> None:
        """Let a stream that has reported a failure wait for the decision on a retry."""
        self.answer_report(entry, self.retry_headers)
        self.reports[entry.id] = session

    def awaits_decision(self, entry: RpcEntry) -> bool:
        """Return whether a stream waits for the decision on an RPC."""
        return entry.id in self.decisions

    def awaits_retry(self, session: StreamSession) -> bool:
        """Return whether the response to a stream's report is pending."""
        return session.entry is not None and self.reports.get(session.entry.id) is session

    def take_for_dispatch(self, entry: RpcEntry) -> StreamSession | None:
        """Return the stream that waits for a decision, which is to be dispatched; None if there is none.

        A stream that waits for the decision on a retry is told to retry.
        """
        self.answer_report(entry, self.retry_headers)
        return self.decisions.pop(entry.id, None)

    def take_for_rejection(self, entry: RpcEntry) -> StreamSession | None:
        """Return the stream that waits for a decision, which is to be rejected; None if there is none."""
        return self.decisions.pop(entry.id, None)

    def remove_decision(self, entry: RpcEntry, session: StreamSession) -> bool:
        """Remove a stream that has ended while it waited for a decision; return whether it did."""
        if self.decisions.get(entry.id) is not session:
            return False
        del self.decisions[entry.id]
        return True

    def remove_report(self, entry: RpcEntry, session: StreamSession) -> bool:
        """Remove a stream that has ended while its report was pending; return whether it was."""
        if self.reports.get(entry.id) is not session:
            return False
        del self.reports[entry.id]
        return True

    def reject(self, entry: RpcEntry, text: str) -> None:
        """Fail the stream that waits for a decision, if any: its request may not be repeated."""
        session = self.decisions.pop(entry.id, None)
        if session is not None:
            session.reject(self.format.final_response(session.grpc, self.format.aborted, {}, text))

    def answer_report(self, entry: RpcEntry, headers: dict[str, str]) -> None:
        """Let a reported failure pass, if one waits, with headers that carry the module's decision."""
        session = self.reports.pop(entry.id, None)
        if session is None:
            return
        session.release()
        session.call.send(codec.continue_response(MessageKind.RESPONSE_HEADERS, headers))
        if session.call.half_closed:
            session.on_half_closed()
