"""The transitions of a stream: the action for each message, and the messages that are errors."""

from __future__ import annotations

import pytest

from linenbridge.processor.stream_phases import (
    MAX_DEFERRED,
    Action,
    MessageKind,
    OutOfOrderError,
    StreamPhases,
    StreamState,
)

HEADERS = MessageKind.REQUEST_HEADERS
BODY = MessageKind.REQUEST_BODY
TRAILERS = MessageKind.REQUEST_TRAILERS
RESPONSE = (MessageKind.RESPONSE_HEADERS, MessageKind.RESPONSE_BODY, MessageKind.RESPONSE_TRAILERS)


def dispatched() -> StreamPhases:
    phases = StreamPhases()
    phases.on_message(HEADERS)
    phases.on_dispatched()
    return phases


def test_request_headers_need_a_decision_and_response_headers_and_trailers_are_reports():
    phases = StreamPhases()
    assert phases.on_message(HEADERS) == Action.DECIDE
    assert phases.on_dispatched() == []
    assert [phases.on_message(kind) for kind in (BODY, TRAILERS)] == [Action.CONTINUE] * 2
    assert [phases.on_message(kind) for kind in RESPONSE] == [Action.REPORT, Action.CONTINUE, Action.REPORT]


def test_messages_deferred_until_the_decision_are_returned_in_order():
    phases = StreamPhases()
    phases.on_message(HEADERS)
    assert [phases.on_message(kind) for kind in (BODY, BODY, TRAILERS)] == [Action.DEFER] * 3
    assert phases.on_dispatched() == [BODY, BODY, TRAILERS]
    assert phases.deferred == []


def test_a_message_beyond_the_maximum_of_deferred_ones_raises():
    phases = StreamPhases()
    phases.on_message(HEADERS)
    for _ in range(MAX_DEFERRED):
        phases.on_message(BODY)
    with pytest.raises(OutOfOrderError, match="too much came before the decision"):
        phases.on_message(BODY)


def test_a_body_after_a_rejection_is_ignored_and_a_response_raises():
    phases = StreamPhases()
    phases.on_message(HEADERS)
    phases.on_rejected()
    assert phases.on_message(BODY) == Action.IGNORE
    with pytest.raises(OutOfOrderError, match="response_headers cannot come now: the stream is refused"):
        phases.on_message(MessageKind.RESPONSE_HEADERS)


def test_an_observed_stream_is_ignored_and_cannot_change_its_mode():
    phases = StreamPhases()
    assert {phases.on_message(kind, observed=True) for kind in (HEADERS, *RESPONSE)} == {Action.IGNORE}
    with pytest.raises(OutOfOrderError, match="from its first message on, or never"):
        phases.on_message(BODY)
    with pytest.raises(OutOfOrderError, match="from its first message on, or never"):
        dispatched().on_message(BODY, observed=True)


@pytest.mark.parametrize(
    ("before", "kind", "text"),
    [
        ((), MessageKind.UNKNOWN, "holds no phase that is known here"),
        ((), BODY, "request_body cannot come now: the stream is opened"),
        ((HEADERS,), HEADERS, "request_headers came twice"),
        ((HEADERS,), MessageKind.RESPONSE_HEADERS, "response_headers cannot come now: the stream is asked"),
        ((HEADERS, TRAILERS), TRAILERS, "request_trailers came twice"),
    ],
)
def test_an_out_of_order_message_raises_with_its_kind_and_the_state(before, kind, text):
    phases = StreamPhases()
    for earlier in before:
        phases.on_message(earlier)
    with pytest.raises(OutOfOrderError, match=text):
        phases.on_message(kind)


def test_a_decision_raises_unless_the_stream_awaits_one():
    with pytest.raises(OutOfOrderError, match="nothing was to be decided: the stream is opened"):
        StreamPhases().on_dispatched()
    with pytest.raises(OutOfOrderError, match="nothing was to be decided: the stream is handed"):
        dispatched().on_rejected()


def test_state_values_in_texts_to_proxies_are_those_of_earlier_versions():
    assert [state.value for state in StreamState] == [
        "opened",
        "asked",
        "handed",
        "reported",
        "refused",
        "watched",
    ]
