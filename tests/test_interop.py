"""A proxy that is not ours: `grpcio` speaks to a running processor, plainly and by mutual TLS."""

from __future__ import annotations

import datetime
import json
import os
import signal
import subprocess
import sys
import time
from pathlib import Path
from queue import SimpleQueue

import grpc
import pytest
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec

from linenbridge.faults.process import free_port
from linenbridge.processor import wire_pb2 as wire
from tests.peer_script import request_headers_message

ROOT = Path(__file__).parent.parent
METHOD = "/envoy.service.ext_proc.v3.ExternalProcessor/Process"
SETTINGS = """<linenbridge xmlns="urn:linenbridge:premises:1">
  <processor listen="127.0.0.1:{port}">{tls}
    <partner name="desk" {known} attempts="2"/>
    <routes>route a {{ when path starts "/look" method "look" }}
            route b {{ when path starts "/book" method "book" }}</routes>
  </processor>
</linenbridge>"""


def certificate(folder: Path, name: str, issuer=None):
    """A key and certificate in PEM files; an authority where no issuer is given."""
    key = ec.generate_private_key(ec.SECP256R1())
    subject = x509.Name([x509.NameAttribute(x509.NameOID.COMMON_NAME, name)])
    now = datetime.datetime.now(datetime.UTC)
    made = (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(issuer[1].subject if issuer else subject)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - datetime.timedelta(days=1))
        .not_valid_after(now + datetime.timedelta(days=1))
        .add_extension(x509.BasicConstraints(ca=issuer is None, path_length=None), critical=True)
        .add_extension(x509.SubjectAlternativeName([x509.DNSName(name)]), critical=False)
        .sign(issuer[0] if issuer else key, hashes.SHA256())
    )
    form = serialization.PrivateFormat.PKCS8
    (folder / f"{name}.key").write_bytes(
        key.private_bytes(serialization.Encoding.PEM, form, serialization.NoEncryption())
    )
    (folder / f"{name}.pem").write_bytes(made.public_bytes(serialization.Encoding.PEM))
    return key, made


class Running:
    """A processor before an instance list that its configuration names; nobody serves behind it."""

    def __init__(self, folder: Path, tls: str = "", known: str = 'address="127.0.0.0/8"') -> None:
        self.port = free_port()
        config = json.loads((ROOT / "examples" / "config.json").read_text())
        config["known"]["endpoints"] = [
            {"name": "n1", "address": "127.0.0.1:7001", "status": "active", "release": 1, "zone": "a"}
        ]
        (folder / "c.json").write_text(json.dumps(config))
        (folder / "s.xml").write_text(SETTINGS.format(port=self.port, tls=tls, known=known))
        self.process = subprocess.Popen(
            [sys.executable, "-m", "linenbridge", "processor", "-s", f"{folder}/s.xml"],
            env={**os.environ, "LB_CONFIG": f"{folder}/c.json"},
            cwd=ROOT, stderr=subprocess.PIPE, text=True,
        )  # fmt: skip
        while json.loads(self.process.stderr.readline())["event"] != "started":
            pass

    def end(self) -> int:
        self.process.send_signal(signal.SIGTERM)
        self.process.communicate(timeout=10)
        return self.process.returncode


def process_rpc(channel):
    return channel.stream_stream(
        METHOD,
        request_serializer=wire.ProcessingRequest.SerializeToString,
        response_deserializer=wire.ProcessingResponse.FromString,
    )


class Talk:
    """One stream on which each message waits for the answer to the one before, as a proxy's do."""

    def __init__(self, channel, first: wire.ProcessingRequest) -> None:
        self.said: SimpleQueue = SimpleQueue()
        self.said.put(first)
        self.call = process_rpc(channel)(iter(self.said.get, None), timeout=10)

    def heard(self) -> wire.ProcessingResponse:
        return next(self.call)

    def end(self, last: wire.ProcessingRequest) -> list[wire.ProcessingResponse]:
        self.said.put(last)
        answer = self.heard()
        self.said.put(None)
        return [answer, *self.call]


def response(status: str) -> wire.ProcessingRequest:
    message = wire.ProcessingRequest()
    message.response_headers.headers.headers.add(key=":status", raw_value=status.encode())
    return message


@pytest.fixture
def running(tmp_path):
    found = Running(tmp_path)
    yield found
    assert found.end() == 0


def test_grpcio_is_told_where_to_go_and_reports(running):
    with grpc.insecure_channel(f"127.0.0.1:{running.port}") as channel:
        talk = Talk(channel, request_headers_message("/look/1", "r1"))
        answers = [talk.heard(), *talk.end(response("200"))]
        named = {
            o.header.key: o.header.raw_value
            for o in answers[0].request_headers.response.header_mutation.set_headers
        }
        assert named["x-gateway-destination-endpoint"] == b"127.0.0.1:7001"
        assert answers[1].HasField("response_headers")
        assert len(answers) == 2
        refused = list(process_rpc(channel)(iter([request_headers_message("/book/1", "b1", 2)]), timeout=5))
        assert refused[0].immediate_response.status.code == 502


def test_grpcio_reads_statuses_and_health(running):
    with grpc.insecure_channel(f"127.0.0.1:{running.port}") as channel:
        with pytest.raises(grpc.RpcError) as found:
            list(process_rpc(channel)(iter([response("200")]), timeout=5))
        assert found.value.code() == grpc.StatusCode.FAILED_PRECONDITION
        assert "response_headers cannot come now" in found.value.details()
        check = channel.unary_unary(
            "/grpc.health.v1.Health/Check",
            request_serializer=wire.HealthCheckRequest.SerializeToString,
            response_deserializer=wire.HealthCheckResponse.FromString,
        )
        assert check(wire.HealthCheckRequest(), timeout=5).status == wire.HealthCheckResponse.SERVING
        unknown = channel.unary_unary("/a.b/C", request_serializer=bytes, response_deserializer=bytes)
        with pytest.raises(grpc.RpcError) as found:
            unknown(b"", timeout=5)
        assert found.value.code() == grpc.StatusCode.UNIMPLEMENTED


def test_many_streams_at_once_each_get_their_own_answer(running):
    with grpc.insecure_channel(f"127.0.0.1:{running.port}") as channel:
        talks = [Talk(channel, request_headers_message(f"/look/{n}", f"m{n}")) for n in range(3)]
        assert all(talk.heard().HasField("request_headers") for talk in talks)
        assert [len(talk.end(response("200"))) for talk in talks] == [1] * 3


def test_mutual_tls_names_the_partner_and_takes_new_keys_on_sighup(tmp_path):
    authority = certificate(tmp_path, "authority")
    for name in ("localhost", "desk.example", "stranger.example"):
        certificate(tmp_path, name, authority)
    tls = '<tls certificate="localhost.pem" key="localhost.key" authorities="authority.pem"/>'
    running = Running(tmp_path, tls, 'identity="desk.example"')

    def asked(name: str, roots: bytes):
        key = (tmp_path / f"{name}.key").read_bytes()
        credentials = grpc.ssl_channel_credentials(roots, key, (tmp_path / f"{name}.pem").read_bytes())
        with grpc.secure_channel(f"localhost:{running.port}", credentials) as channel:
            return list(process_rpc(channel)(iter([request_headers_message("/look/1", "r1")]), timeout=5))

    roots = (tmp_path / "authority.pem").read_bytes()
    assert asked("desk.example", roots)[0].HasField("request_headers")
    with pytest.raises(grpc.RpcError) as found:
        asked("stranger.example", roots)
    assert found.value.code() == grpc.StatusCode.PERMISSION_DENIED
    other = tmp_path / "other"
    other.mkdir()
    new = certificate(other, "authority")
    certificate(other, "localhost", new)
    for file in ("localhost.pem", "localhost.key"):
        (tmp_path / file).write_bytes((other / file).read_bytes())
    running.process.send_signal(signal.SIGHUP)
    time.sleep(0.5)
    with pytest.raises(grpc.RpcError):
        asked("desk.example", roots)
    assert asked("desk.example", (other / "authority.pem").read_bytes())[0].HasField("request_headers")
    (tmp_path / "localhost.key").write_text("no key")
    running.process.send_signal(signal.SIGHUP)
    time.sleep(0.5)
    assert asked("desk.example", (other / "authority.pem").read_bytes())[0].HasField("request_headers")
    assert running.end() == 0
