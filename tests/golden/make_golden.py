"""Writes the golden data that tests/golden/ compares later releases with.

The data in tests/fixtures/000e6de was written by the code of revision 000e6de, and is not written anew: it
shows what that release puts on disk and on the wire. To write it, run this file with a checkout of that
revision as the working directory:

    git worktree add /tmp/release 000e6de
    cd /tmp/release
    PYTHON /path/to/tests/golden/make_golden.py OUTPUT [KIND ...]

KIND is one of the functions in `KINDS`; without any, all are written. The names imported below are
those of 000e6de.
"""

import io
import json
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path

from status_shape import appliance_with_all_tables, metric_names, types_by_path  # beside this file

MS, S = 10**6, 10**9
IDEMPOTENCY_WINDOW_S = 50 * 365 * 86_400  # so that filings are still within their window when tests read them
SECRET = b"a secret for the golden datagrams"
GROUP = "golden"


def long_lived_settings():
    """Settings of the tests' stand-ins, with an idempotency window that outlasts the fixture's use."""
    from stand_ins import settings

    values = settings()
    values["Classes"][1]["Window"] = IDEMPOTENCY_WINDOW_S * S
    return values


def submit(client, key, body):
    """Sends a filing."""
    client.request("POST", "/filings", {"Idempotency-Key": key, "X-Tenant": "acme"}, body)


def wait_for_operations(program, count):
    """Waits until the store has carried out so many operations."""
    until = time.monotonic() + 30
    while json.loads(program.operator()[1])["store"]["operations"] < count:
        assert time.monotonic() < until
        time.sleep(0.01)


def store(out):
    """A store folder with a learned state, finished filings and one that was begun, and its export."""
    from stand_ins import Program, run

    folder = out / "store" / "folder"
    folder.parent.mkdir(parents=True)
    how = {"thrift": False, "ajp": True, "site": long_lived_settings(), "state": {"folder": str(folder)}}
    first = Program(**how)
    client = first.ajp()
    for number in range(3):
        submit(client, f"finished-{number}", b"document %d" % number)
        first.server.next()[2](data=b"result %d" % number)
        assert client.answer()[0] == 200
    submit(client, "failed", b"document of the failed one")
    first.server.next()[2](status=500, data=b"refused by the server")
    assert client.answer()[0] == 500
    first.process.send_signal(signal.SIGTERM)
    assert first.ended() == 0
    first.close()
    second = Program(**how)
    client = second.ajp()  # kept: a caller that leaves takes its request back
    submit(client, "begun", b"document that was begun")
    second.server.next()
    wait_for_operations(second, 1)
    second.process.kill()
    second.process.wait()
    second.close()
    done = run("state", "export", str(out / "store" / "export.jsonl"), "--folder", str(folder))
    assert done.returncode == 0, done.stderr
    for path in folder.iterdir():
        if path.name.endswith("-shm") or path.name == "owner.lock":
            path.unlink()


def handover(out):
    """What a worker with finished, running, joined and held requests hands to its successor, line by line."""
    from stand_ins import Program

    program = Program(thrift=True, ajp=True, site=long_lived_settings())
    ajp, router = program.ajp(), program.thrift()
    submit(ajp, "finished-ajp", b"document")
    program.server.next()[2](data=b"result over ajp")
    assert ajp.answer()[0] == 200
    finished = router.invoke("filing", b"document", token="finished-thrift")
    program.kernel.reap(program.kernel.next()[0], body=b"result over thrift")
    router.answer(finished)
    failed = router.invoke("filing", b"document", token="failed-thrift")
    program.kernel.reap(program.kernel.next()[0], end="ERROR", body=b"why")
    router.answer(failed)
    router.invoke("filing", b"running document", token="running")
    router.invoke("filing", b"running document", token="running")
    program.kernel.next()
    waiting = program.ajp()  # kept: a caller that leaves takes its request back
    submit(waiting, "running-ajp", b"running document")
    program.server.next()
    router.invoke("filing", b"held document", token="held")
    router.invoke("read", b"held read")
    router.ping()
    program.wait_for(lambda status: status["in_hand"] == "5")
    path = next(Path(program.folder.name).glob("ochrehoist-*"))
    lines = []
    with socket.socket(socket.AF_UNIX) as link:
        link.settimeout(30)
        link.connect(str(path))
        link.sendall(b'{"m":"take"}\n')
        with link.makefile("rb") as reader:
            while not lines or json.loads(lines[-1])["m"] != "end":
                lines.append(reader.readline())
    (out / "handover").mkdir(parents=True)
    (out / "handover" / "lines.jsonl").write_bytes(b"".join(lines))
    program.close()


def datagrams(out):
    """A signed datagram of each kind of message between peers, with the payloads of sites and witnesses."""
    import msgspec

    from ochrehoist.peers import wire
    from ochrehoist.recovery import witness
    from ochrehoist.sites import words

    one, other = wire.Life("one", 1_700_000_000_123, 77), wire.Life("other", 1_700_000_000_456, 88)
    word = words.Word(
        level=0.75, offered=1.5, able=2.25, rate=40.5, usual=39.0, step=2, weight=50, permit_ms=700,
        sites=[words.SiteWord("antwerp", "lost", 250, 12.5, 0.5)],
        orders=[words.Order("antwerp", "evacuate", 3, "ops", 60_000)],
        costs={"read": 0.02, "filing": 0.2}, tenants={"acme": 7.5}, book=(1_796_172_076, "abc123"),
    )  # fmt: skip
    status = wire.Status(
        leaving=True, alone=False, evidence=[wire.Evidence("db", "slow", 40, 250, 3.5)],
        holdings=[wire.Holding("again", 0b1011, 4, 1)], more={words.TOPIC: words.encode(word)},
    )  # fmt: skip
    entry = wire.Entry(other, "127.0.0.2:8021", "brussels", "suspect", 12, 150, wire.encode_status(status), 3)
    tally = wire.Tally(other, 9, 120, False, {"tenant/acme": 41, "tenant/beta": 2})
    part = wire.Part(other, 4, "", "tenant/z", 9, 120, False, 5000, {"tenant/acme": 41})
    digests = [(witness.digest(b"key %d" % n), 1000 * n) for n in range(3)]
    payloads = {
        "sites": {"word": words.encode(word)},
        "recovery": {
            witness.TELL: witness.encode(witness.Tell(5, digests, [witness.digest(b"never ran")])),
            witness.TOLD: witness.encode(5),
            witness.ASK: witness.encode(witness.Ask(6, 1)),
            witness.KNOWN: witness.encode(witness.Known(6, 1, 2, 90_000, digests)),
        },
    }
    items = {
        "ping": wire.Ping(
            5, [("other", other.inc, 12)], [entry], [wire.Asked("other", other.inc, 4, "tenant/a")]
        ),
        "ping of a member that takes whole counts": wire.Ping(6),
        "ack": wire.Ack(5, "other", [entry], [entry], [tally], [part]),
        "ping request": wire.Ask(7, "other"),
        "claim": wire.Claim("again", "terms", 3, [1, 2]),
        "vouched": wire.Vouched("again", 3, [1, 2]),
        "released": wire.Released("again", 4, [1], "other"),
        "left": wire.Left("stop"),
        "hello": wire.Hello("127.0.0.1:8020", "brussels"),
        "later": wire.Later(other),
        **{
            f"said {name}/{topic}": wire.Said(f"{name}/{topic}", data)
            for name, by_topic in payloads.items()
            for topic, data in by_topic.items()
        },
    }  # fmt: skip
    found = []
    for seq, (name, item) in enumerate(items.items(), 1):
        message = wire.Message(GROUP, one, "other", other.inc, seq, [item])
        found.append(
            {
                "name": name,
                "datagram": wire.packed(message, SECRET).hex(),
                "values": msgspec.to_builtins(message),
            }
        )
    every = wire.Message(GROUP, one, "other", other.inc, 99, list(items.values()))
    found.append(
        {
            "name": "all of them",
            "datagram": wire.packed(every, SECRET).hex(),
            "values": msgspec.to_builtins(every),
        }
    )
    told = {
        "secret": SECRET.decode(),
        "group": GROUP,
        "datagrams": found,
        "status": {"bytes": wire.encode_status(status).hex(), "values": msgspec.to_builtins(status)},
        "payloads": {
            f"{name}/{topic}": {"bytes": data.hex(), "values": msgspec.msgpack.decode(data)}
            for name, by_topic in payloads.items()
            for topic, data in by_topic.items()
        },
    }
    plain = json.loads(msgspec.json.encode(told))  # bytes become base64, as msgspec does it everywhere
    (out / "datagrams.json").write_text(json.dumps(plain, indent=1) + "\n")


def simulator(out):  # noqa: C901, PLR0915 - as it ran on 000e6de
    """A script for two instances of the simulator's adapter, made as they answer, and the answers."""
    import random

    from ochrehoist.wirehost import Host
    from stand_ins import settings

    source, answers, errors, script = random.Random(20_261_202), io.StringIO(), io.StringIO(), []
    host, now_ns, batch, jobs = Host(answers, errors), S, 0, 0
    running, alarms, open_jobs = {1: [], 2: []}, {}, {1: [], 2: []}

    def play(lines):
        nonlocal batch
        batch += 1
        at = answers.tell()
        for line in [f"BATCH {now_ns} {batch}", *lines, "EOF_BATCH"]:
            script.append(line)
            host.line(line)
        answers.seek(at)
        heard = answers.read().splitlines()
        instance = None
        for line in heard:
            name, *rest = line.split(" ")
            if name == "INSTANCE":
                instance = int(rest[0])
            elif name == "PROCESS":
                running[instance].append((now_ns + source.randint(5, 40) * MS, rest[0]))
            elif name in ("PUSH_BACK", "LOSE", "ATTACH"):
                open_jobs[instance] = [job for job in open_jobs[instance] if job != rest[0]]
            elif name == "WAKE_AT":
                alarms[instance, rest[1]] = now_ns + int(rest[0])

    text = json.dumps(settings(), separators=(",", ":"))
    play([line for n in (1, 2) for line in (f"TARGET_INSTANCE {n}", f"CREATE {n + 6} {text}")])
    for step in range(500):
        now_ns += 4 * MS
        lines = []
        for n in (1, 2):
            lines.append(f"TARGET_INSTANCE {n}")
            busy = min(1.0, len(running[n]) / 2)
            for (instance, token), due_ns in sorted(alarms.items()):
                if instance == n and due_ns <= now_ns:
                    del alarms[instance, token]
                    lines.append(f"BELL {token} cpu_busy:{busy},runnable:{len(running[n])}")
            for due_ns, job in list(running[n]):
                if due_ns <= now_ns:
                    running[n].remove((due_ns, job))
                    open_jobs[n] = [other for other in open_jobs[n] if other != job]
                    verdict = source.choice(["Ok"] * 12 + ["Failed", "TimedOut"])
                    lines.append(f"COMPLETED {job} {verdict} {source.randint(5, 40) * MS}")
            for _ in range(source.choice((0, 0, 1, 1, 2) if step % 200 < 120 else (0, 0, 0, 0, 1))):
                jobs += 1
                job, kind = f"job-{jobs}", source.choice(("read", "read", "filing"))
                bits = source.choice((1, 1, 3)) | (4 if kind == "filing" else 0)
                lines.append(
                    f"INCOMING {job} {kind} {source.choice(('acme', '-'))} k:{jobs % 40} "
                    f"{source.randint(300, 9000) * MS} {source.randint(5, 40) * MS} "
                    f"{source.randint(10, 80)}.5 0.{source.randint(0, 9)} {bits} {source.randint(1, 4)} "
                    f"{source.randint(0, 30) * MS} -"
                )
                open_jobs[n].append(job)
            waiting = [job for job in open_jobs[n] if job not in {job for _, job in running[n]}]
            if waiting and source.random() < 0.03:
                gone = source.choice(waiting)
                open_jobs[n].remove(gone)
                lines.append(f"EXPIRED {gone}")
        play(lines)
    now_ns += MS
    play(["TARGET_INSTANCE 1", f"RETIRE_SOON {2 * S}", "TARGET_INSTANCE 2", "DETACH"])
    assert not errors.getvalue(), errors.getvalue()
    (out / "simulator").mkdir(parents=True)
    (out / "simulator" / "script.txt").write_text("".join(line + "\n" for line in script))
    (out / "simulator" / "answers.txt").write_text(answers.getvalue())


def worker_with_all_tables(base):
    """With an empty store of its own: of a folder that never was, filings are held for a window."""
    from stand_ins import Program, run

    done = run("state", "init", "--folder", f"{base}/state")
    assert done.returncode == 0, done.stderr
    return Program(thrift=False, ajp=True, peers={}, appliance=appliance_with_all_tables(base))


def status(out):
    """The keys and types of /status, and the names of metrics with their labels, with all tables on."""
    with tempfile.TemporaryDirectory() as base:
        program = worker_with_all_tables(base)
        found, names = {}, set()
        until = time.monotonic() + 10
        while time.monotonic() < until:
            for path, types in types_by_path(json.loads(program.operator()[1])).items():
                found.setdefault(path, set()).update(types)
            names |= metric_names(program.operator(path="/status/metrics")[1])
            time.sleep(0.1)
        program.close()
    told = {"status": {path: sorted(types) for path, types in found.items()}, "metrics": sorted(names)}
    (out / "status.json").write_text(json.dumps(told, indent=1) + "\n")


def capture(out):
    """The file that a worker's capture leaves, of served, failed and cancelled requests, and its values."""
    import msgspec
    from stand_ins import Program, settings

    from ochrehoist.capture.records import Damage, records

    with tempfile.TemporaryDirectory() as base:
        values = settings()
        program = Program(thrift=False, ajp=True, site=values, capture={"folder": f"{base}/load"})
        client = program.ajp()
        for number in range(5):
            client.request("GET", f"/reads/{number}", {"X-Tenant": "acme"})
            program.server.next()[2](data=b"read")
            assert client.answer()[0] == 200
            submit(client, f"key-{number}", b"document %d" % number)
            program.server.next()[2](status=200 if number else 500, data=b"result")
            client.answer()
        leaving = program.ajp()
        leaving.request("GET", "/reads/leaving")
        respond = program.server.next()[2]
        leaving.close()
        program.wait_for(lambda status: status["in_hand"] == "0")
        respond(data=b"too late")
        program.process.send_signal(signal.SIGTERM)
        assert program.ended() == 0
        program.close()
        (found,) = Path(base, "load").glob("*.ochrecap")
        data = found.read_bytes()
    (out / "load.ochrecap").write_bytes(data)
    values = [msgspec.to_builtins(record) for record in records(data, Damage())]
    (out / "load.json").write_text(json.dumps(values, indent=1) + "\n")


KINDS = {
    "capture": capture,
    "store": store,
    "handover": handover,
    "datagrams": datagrams,
    "simulator": simulator,
    "status": status,
}


def main(out, *names):
    """Writes the kinds of data that are named, or all."""
    for name in names or KINDS:
        KINDS[name](Path(out).resolve())


if __name__ == "__main__":
    sys.path[:1] = [".", "tests"]  # the checkout's modules, not those beside this file
    main(*sys.argv[1:])
