"""A client sends a health check with a body: the body is read as a request, and its answer goes to the next client."""

import struct
import time

from review.support_2.appliance import Server, settings, text
from review.support_2.case import CannotRunError, Case, free_ports, main
from tests.stand_ins.ajp_client import AjpClient
from tests.stand_ins.ajp_packets import encode_text

KEY = "not-sent-by-any-web-server"
BODY_BYTES = 0x0204  # AJP writes this length before the body: the bytes 2 and 4 begin a forwarded POST


def client_body() -> bytes:
    """What the bad client sends as the body of its GET: the rest of a Forward Request packet, filled up."""
    body = b"".join(encode_text(t) for t in ("HTTP/1.1", "/filings", "127.0.0.1", "inside", "site"))
    body += struct.pack(">HB", 80, 0)
    headers = {"X-Tenant": "boekhoud-net", "Idempotency-Key": KEY}
    body += struct.pack(">H", len(headers))
    body += b"".join(encode_text(name) + encode_text(value) for name, value in headers.items())
    body += b"\xff"  # the end of the attributes
    return body.ljust(BODY_BYTES, b".")


def play(case: Case) -> bool:
    """Returns whether the server ran only what was sent, and the next client got its own answer."""
    ajp, admin = free_ports(2)
    server = Server(case, b"X-Name")
    case.start("register-1", case.write("ajp.toml", text(settings("register-1", ajp, admin, server.address))))
    case.wait_ready(admin)
    web_server = AjpClient(("127.0.0.1", ajp))  # keeps its connection for the requests of all its clients
    sent = 0

    def get(who: str, uri: str, body: bytes | None = None):
        headers = {"X-Tenant": "fidu-plus", "X-Name": who}
        case.note(f"web server: sends GET {uri} for {who}, with a body of {len(body or b'')} bytes")
        answer = web_server.call("GET", uri, headers=headers, body=body)
        case.note(f"web server: got {answer.status} {answer.body!r} for {who}")
        return answer

    before = get("good client", "/companies/1")
    sent += 1
    if before.status != 200:
        raise CannotRunError("no answer before the disruption")
    if get("the other client", "/healthz", client_body() if case.trouble else None).status != 200:
        raise CannotRunError("the health check was not answered")
    time.sleep(0.5)
    case.note(f"server: {[run['name'] for run in server.runs]}")
    try:
        after = get("good client again", "/companies/2")
    except (OSError, EOFError) as error:
        case.note(f"web server: the connection has ended ({error!r}), and the request goes over a new one")
        web_server = AjpClient(("127.0.0.1", ajp))
        after = get("good client again", "/companies/2")
    sent += 1
    own = [f"run {run['number']}".encode() for run in server.runs if run["name"] == "good client again"]
    time.sleep(0.5)
    case.note(f"requests sent by the web server to be run: {sent}; run by the server: {len(server.runs)}")
    foreign = after.body not in own
    case.note(f"the good client got {'the answer of another request' if foreign else 'its own answer'}")
    return len(server.runs) == sent and not foreign


main(__file__, play)
