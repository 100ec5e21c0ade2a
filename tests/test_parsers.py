"""The RESP and HTTP parsers, on streams that are split into reads of any size and on damaged streams."""

from __future__ import annotations

from random import Random

import pytest

from linenbridge.net import http, resp


def split(random: Random, data: bytes) -> list[bytes]:
    """Split the data into pieces of random sizes."""
    pieces, offset = [], 0
    while offset < len(data):
        size = random.choice((1, 2, 3, 7, 50, 5000))
        pieces.append(data[offset : offset + size])
        offset += size
    return pieces


def to_plain(value: resp.Value):
    if isinstance(value, memoryview):
        return bytes(value)
    return [to_plain(argument) for argument in value] if isinstance(value, list) else value


def read_messages(reader: resp.Reader, pieces: list[bytes]) -> list:
    return [to_plain(value) for piece in pieces for value in reader.feed(piece)]


@pytest.mark.parametrize("seed", range(30))
def test_commands_are_read_complete_however_the_stream_is_split(seed):
    random = Random(seed)
    commands = [
        [random.randbytes(random.choice((0, 1, 16, 300, 9000))) for _ in range(random.randint(1, 5))]
        for _ in range(20)
    ]
    stream = b"".join(resp.command(arguments) for arguments in commands)
    assert read_messages(resp.Reader(commands=True), split(random, stream)) == commands


@pytest.mark.parametrize("seed", range(30))
def test_replies_are_read_complete_however_the_stream_is_split(seed):
    random = Random(seed)
    stream, expected = b"", []
    for _ in range(30):
        body = random.randbytes(random.choice((0, 3, 2000)))
        encoded, value = random.choice(
            (
                (b"*3\r\n$%d\r\n%b\r\n$-1\r\n$6\r\nrif=11\r\n" % (len(body), body), [body, None, b"rif=11"]),
                (b"-BUSY\r\n", resp.Line(b"-", b"BUSY")),
                (b"+PONG\r\n", resp.Line(b"+", b"PONG")),
                (b":12\r\n", resp.Line(b":", b"12")),
                (b"*-1\r\n", None),
                (b"$-1\r\n", None),
            )
        )
        stream, expected = stream + encoded, [*expected, value]
    assert read_messages(resp.Reader(commands=False), split(random, stream)) == expected


def test_a_value_is_a_slice_of_the_buffer_that_it_was_read_into():
    data = resp.command([b"SVC.SUBMIT", b"x" * 1000])
    [[_, value]] = resp.Reader(commands=True).feed(data)
    assert value.obj is data


@pytest.mark.parametrize(
    "malformed",
    [
        b"PING\r\n",
        b"*1\r\n+PING\r\n",
        b"*99\r\n",
        b"*x\r\n",
        b"*1\r\n$70000\r\n",
        b"*1\r\n$2\r\nabc\r\n",
        b"*1\r\n*1\r\n",
        b"*" + b"1" * 40,
        b"*1\r\n$-3\r\n",
    ],
)
def test_a_malformed_command_raises_after_the_commands_before_it_are_returned(malformed):
    reader, received = resp.Reader(commands=True), []
    with pytest.raises(resp.MalformedError):
        for arguments in reader.feed(resp.command([b"PING"]) + malformed):
            received.append(to_plain(arguments))
    assert received == [[b"PING"]]


@pytest.mark.parametrize("seed", range(60))
def test_a_damaged_stream_yields_messages_or_raises_malformed_error(seed):
    random = Random(seed)
    stream = bytearray(resp.command([b"SVC.QUERY", b"k", b"id", b"c=a,d=5"]) * 5)
    for _ in range(3):
        stream[random.randrange(len(stream))] = random.randrange(256)
    http_stream = bytearray(
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab\ncd\r\n3\r\nef\n\r\n0\r\n\r\n" * 3
    )
    for _ in range(2):
        http_stream[random.randrange(len(http_stream))] = random.randrange(256)
    for reader, data in (
        (resp.Reader(True), stream),
        (resp.Reader(False), stream),
        (http.ResponseParser(), http_stream),
    ):
        try:
            for chunk in split(random, bytes(data)):
                assert all(value is not None or not reader.commands for value in reader.feed(chunk))
        except resp.MalformedError as error:
            assert str(error)


@pytest.mark.parametrize("seed", range(30))
def test_http_responses_and_lines_are_read_complete_however_the_stream_is_split(seed):
    random = Random(seed)
    lines = [b"x" * random.choice((0, 1, 40, 3000)) for _ in range(20)]
    body = b"".join(line + b"\n" for line in lines)
    chunks = b"".join(b"%x;note=1\r\n%b\r\n" % (len(part), part) for part in split(random, body))
    chunked = b"HTTP/1.1 200 OK\r\ntransfer-encoding: Chunked\r\n\r\n" + chunks + b"0\r\nTrailer: 1\r\n\r\n"
    with_length = (
        b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 409 Conflict\r\nContent-Length: 16\r\n\r\n"
        + b'{"error":"moot"}'
    )
    empty = b"HTTP/1.1 204 No Content\r\n\r\n"
    responses, splitter, received, statuses, other_bodies = (
        http.ResponseParser(),
        http.LineSplitter(4000),
        [],
        [],
        b"",
    )
    for piece in split(random, chunked + with_length + empty + chunked):
        for part in responses.feed(piece):
            if part.status == 200:
                received += [bytes(line) for line in splitter.feed(part.body)]
            else:
                other_bodies += part.body
            statuses += [part.status] * part.last
    assert received == lines * 2
    assert statuses == [200, 409, 204, 200]
    assert other_bodies == b'{"error":"moot"}'


def test_an_oversized_line_and_a_response_without_length_raise_malformed_error():
    with pytest.raises(resp.MalformedError):
        list(http.LineSplitter(10).feed(memoryview(b"x" * 11)))
    with pytest.raises(resp.MalformedError):
        list(http.ResponseParser().feed(b"HTTP/1.1 200 OK\r\n\r\n"))
