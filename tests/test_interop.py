"""Interoperability with `grpcio`: its client calls a running processor, in plaintext and with mutual TLS."""

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
    """Write a key and a certificate as PEM files and return both; self-signed without an issuer."""
    key = ec.generate_private_key(ec.SECP256R1())
    subject = x509.Name([x509.NameAttribute(x509.NameOID.COMMON_NAME, name)])
    now = datetime.datetime.now(datetime.UTC)
    signed = (
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
    key_format = serialization.PrivateFormat.PKCS8
    (folder / f"{name}.key").write_bytes(
        key.private_bytes(serialization.Encoding.PEM, key_format, serialization.NoEncryption())
    )
    (folder / f"{name}.pem").write_bytes(signed.public_bytes(serialization.Encoding.PEM))
    return key, signed


class RunningProcessor:
    """A processor with one instance in its configuration; nothing listens at the instance's address."""

    def __init__(self, folder: Path, tls: str = "", partner: str = 'address="127.0.0.0/8"') -> None:
        self.port = free_port()
        config = json.loads((ROOT / "examples" / "config.json").read_text())
        config["known"]["endpoints"] = [
            {"name": "n1", "address": "127.0.0.1:7001", "status": "active", "release": 1, "zone": "a"}
        ]
        (folder / "c.json").write_text(json.dumps(config))
        (folder / "s.xml").write_text(SETTINGS.format(port=self.port, tls=tls, known=partner))
        self.process = subprocess.Popen(
            [sys.executable, "-m", "linenbridge", "processor", "-s", f"{folder}/s.xml"],
            env={**os.environ, "LB_CONFIG": f"{folder}/c.json"},
            cwd=ROOT,
            stderr=subprocess.PIPE,
            text=True,
        )
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


class ProxyStream:
    """One stream on which each message is sent after the response to the one before, as a proxy does."""

    def __init__(self, channel, first: wire.ProcessingRequest) -> None:
        self.to_send: SimpleQueue = SimpleQueue()
        self.to_send.put(first)
        self.call = process_rpc(channel)(iter(self.to_send.get, None), timeout=10)

    def receive_response(self) -> wire.ProcessingResponse:
        return next(self.call)

    def end(self, last: wire.ProcessingRequest) -> list[wire.ProcessingResponse]:
        self.to_send.put(last)
        response_to_last = self.receive_response()
        self.to_send.put(None)
        return [response_to_last, *self.call]


def response(status: str) -> wire.ProcessingRequest:
    message = wire.ProcessingRequest()
    message.response_headers.headers.headers.add(key=":status", raw_value=status.encode())
    return message


@pytest.fixture
def running(tmp_path):
    processor = RunningProcessor(tmp_path)
    yield processor
    assert processor.end() == 0


def test_grpcio_receives_an_endpoint_and_a_reply_to_its_report(running):
    with grpc.insecure_channel(f"127.0.0.1:{running.port}") as channel:
        stream = ProxyStream(channel, request_headers_message("/look/1", "r1"))
        responses = [stream.receive_response(), *stream.end(response("200"))]
        header_values = {
            o.header.key: o.header.raw_value
            for o in responses[0].request_headers.response.header_mutation.set_headers
        }
        assert header_values["x-gateway-destination-endpoint"] == b"127.0.0.1:7001"
        assert responses[1].HasField("response_headers")
        assert len(responses) == 2
        immediate = list(process_rpc(channel)(iter([request_headers_message("/book/1", "b1", 2)]), timeout=5))
        assert immediate[0].immediate_response.status.code == 502


def test_grpcio_receives_error_statuses_and_serving_health(running):
    with grpc.insecure_channel(f"127.0.0.1:{running.port}") as channel:
        with pytest.raises(grpc.RpcError) as raised:
            list(process_rpc(channel)(iter([response("200")]), timeout=5))
        assert raised.value.code() == grpc.StatusCode.FAILED_PRECONDITION
        assert "response_headers cannot come now" in raised.value.details()
        check = channel.unary_unary(
            "/grpc.health.v1.Health/Check",
            request_serializer=wire.HealthCheckRequest.SerializeToString,
            response_deserializer=wire.HealthCheckResponse.FromString,
        )
        assert check(wire.HealthCheckRequest(), timeout=5).status == wire.HealthCheckResponse.SERVING
        unknown = channel.unary_unary("/a.b/C", request_serializer=bytes, response_deserializer=bytes)
        with pytest.raises(grpc.RpcError) as raised:
            unknown(b"", timeout=5)
        assert raised.value.code() == grpc.StatusCode.UNIMPLEMENTED


def test_concurrent_streams_each_receive_their_own_responses(running):
    with grpc.insecure_channel(f"127.0.0.1:{running.port}") as channel:
        streams = [ProxyStream(channel, request_headers_message(f"/look/{n}", f"m{n}")) for n in range(3)]
        assert all(stream.receive_response().HasField("request_headers") for stream in streams)
        assert [len(stream.end(response("200"))) for stream in streams] == [1] * 3


def test_mutual_tls_admits_only_the_partner_and_sighup_reloads_valid_keys(tmp_path):
    authority = certificate(tmp_path, "authority")
    for name in ("localhost", "desk.example", "stranger.example"):
        certificate(tmp_path, name, authority)
    tls = '<tls certificate="localhost.pem" key="localhost.key" authorities="authority.pem"/>'
    running = RunningProcessor(tmp_path, tls, 'identity="desk.example"')

    def process_request(name: str, roots: bytes):
        key = (tmp_path / f"{name}.key").read_bytes()
        credentials = grpc.ssl_channel_credentials(roots, key, (tmp_path / f"{name}.pem").read_bytes())
        with grpc.secure_channel(f"localhost:{running.port}", credentials) as channel:
            return list(process_rpc(channel)(iter([request_headers_message("/look/1", "r1")]), timeout=5))

    roots = (tmp_path / "authority.pem").read_bytes()
    assert process_request("desk.example", roots)[0].HasField("request_headers")
    with pytest.raises(grpc.RpcError) as raised:
        process_request("stranger.example", roots)
    assert raised.value.code() == grpc.StatusCode.PERMISSION_DENIED
    renewed = tmp_path / "other"
    renewed.mkdir()
    new_authority = certificate(renewed, "authority")
    certificate(renewed, "localhost", new_authority)
    for file in ("localhost.pem", "localhost.key"):
        (tmp_path / file).write_bytes((renewed / file).read_bytes())
    running.process.send_signal(signal.SIGHUP)
    time.sleep(0.5)
    with pytest.raises(grpc.RpcError):
        process_request("desk.example", roots)
    assert process_request("desk.example", (renewed / "authority.pem").read_bytes())[0].HasField(
        "request_headers"
    )
    (tmp_path / "localhost.key").write_text("no key")
    running.process.send_signal(signal.SIGHUP)
    time.sleep(0.5)
    assert process_request("desk.example", (renewed / "authority.pem").read_bytes())[0].HasField(
        "request_headers"
    )
    assert running.end() == 0
