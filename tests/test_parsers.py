"""The parsers: whole streams against every cut, and against damage."""

from __future__ import annotations

from random import Random

import pytest

from linenbridge.net import http, resp


def cuts(dice: Random, data: bytes) -> list[bytes]:
    """The same bytes in pieces of any size."""
    pieces, at = [], 0
    while at < len(data):
        size = dice.choice((1, 2, 3, 7, 50, 5000))
        pieces.append(data[at : at + size])
        at += size
    return pieces


def plain(value: resp.Value):
    if isinstance(value, memoryview):
        return bytes(value)
    return [plain(word) for word in value] if isinstance(value, list) else value


def read(reader: resp.Reader, pieces: list[bytes]) -> list:
    return [plain(value) for piece in pieces for value in reader.feed(piece)]


@pytest.mark.parametrize("seed", range(30))
def test_commands_come_out_whole_however_they_are_cut(seed):
    dice = Random(seed)
    commands = [
        [dice.randbytes(dice.choice((0, 1, 16, 300, 9000))) for _ in range(dice.randint(1, 5))]
        for _ in range(20)
    ]
    stream = b"".join(resp.command(words) for words in commands)
    assert read(resp.Reader(commands=True), cuts(dice, stream)) == commands


@pytest.mark.parametrize("seed", range(30))
def test_answers_come_out_whole_however_they_are_cut(seed):
    dice = Random(seed)
    stream, wanted = b"", []
    for _ in range(30):
        body = dice.randbytes(dice.choice((0, 3, 2000)))
        form, value = dice.choice(
            (
                (b"*3\r\n$%d\r\n%b\r\n$-1\r\n$6\r\nrif=11\r\n" % (len(body), body), [body, None, b"rif=11"]),
                (b"-BUSY\r\n", resp.Line(b"-", b"BUSY")),
                (b"+PONG\r\n", resp.Line(b"+", b"PONG")),
                (b":12\r\n", resp.Line(b":", b"12")),
                (b"*-1\r\n", None),
                (b"$-1\r\n", None),
            )
        )
        stream, wanted = stream + form, [*wanted, value]
    assert read(resp.Reader(commands=False), cuts(dice, stream)) == wanted


def test_a_value_is_a_slice_of_the_buffer_it_was_read_into():
    data = resp.command([b"SVC.SUBMIT", b"x" * 1000])
    [[_, value]] = resp.Reader(commands=True).feed(data)
    assert value.obj is data


@pytest.mark.parametrize(
    "damage",
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
def test_what_is_no_command_is_told_after_what_came_before_it(damage):
    reader, got = resp.Reader(commands=True), []
    with pytest.raises(resp.MalformedError):
        for words in reader.feed(resp.command([b"PING"]) + damage):
            got.append(plain(words))
    assert got == [[b"PING"]]


@pytest.mark.parametrize("seed", range(60))
def test_damaged_streams_end_in_an_error_or_in_messages_and_nothing_else(seed):
    dice = Random(seed)
    stream = bytearray(resp.command([b"SVC.QUERY", b"k", b"id", b"c=a,d=5"]) * 5)
    for _ in range(3):
        stream[dice.randrange(len(stream))] = dice.randrange(256)
    web = bytearray(
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab\ncd\r\n3\r\nef\n\r\n0\r\n\r\n" * 3
    )
    for _ in range(2):
        web[dice.randrange(len(web))] = dice.randrange(256)
    for reader, data in (
        (resp.Reader(True), stream),
        (resp.Reader(False), stream),
        (http.ResponseParser(), web),
    ):
        try:
            for piece in cuts(dice, bytes(data)):
                assert all(value is not None or not reader.commands for value in reader.feed(piece))
        except resp.MalformedError as error:
            assert str(error)


@pytest.mark.parametrize("seed", range(30))
def test_http_answers_and_lines_come_out_whole_however_they_are_cut(seed):
    dice = Random(seed)
    lines = [b"x" * dice.choice((0, 1, 40, 3000)) for _ in range(20)]
    body = b"".join(line + b"\n" for line in lines)
    chunks = b"".join(b"%x;note=1\r\n%b\r\n" % (len(part), part) for part in cuts(dice, body))
    chunked = b"HTTP/1.1 200 OK\r\ntransfer-encoding: Chunked\r\n\r\n" + chunks + b"0\r\nTrailer: 1\r\n\r\n"
    plain_one = (
        b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 409 Conflict\r\nContent-Length: 16\r\n\r\n"
        + b'{"error":"moot"}'
    )
    empty = b"HTTP/1.1 204 No Content\r\n\r\n"
    answers, cutter, got, statuses, rest = http.ResponseParser(), http.LineSplitter(4000), [], [], b""
    for piece in cuts(dice, chunked + plain_one + empty + chunked):
        for part in answers.feed(piece):
            if part.status == 200:
                got += [bytes(line) for line in cutter.feed(part.body)]
            else:
                rest += part.body
            statuses += [part.status] * part.last
    assert got == lines * 2
    assert statuses == [200, 409, 204, 200]
    assert rest == b'{"error":"moot"}'


def test_a_line_without_end_is_refused_and_so_is_an_answer_without_length():
    with pytest.raises(resp.MalformedError):
        list(http.LineSplitter(10).feed(memoryview(b"x" * 11)))
    with pytest.raises(resp.MalformedError):
        list(http.ResponseParser().feed(b"HTTP/1.1 200 OK\r\n\r\n"))
