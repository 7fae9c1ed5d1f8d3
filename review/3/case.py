"""A bad client sends the ids of open requests and takes them back; are the routers' requests still answered?

One worker of the platform at the site register-be. With the disruption, one bad client uses the id of an open
request twice a second, and takes its own request back at once.
"""

import random
import threading
import time
from pathlib import Path

from review.support.platform import SEED, TENANTS, BadClient, Platform
from review.support.program import Bench, play, trouble
from tests.stand_ins.thrift_router import ThriftRouter

SERVICE_S = 20.0  # for which requests are sent
BAD_EVERY_S = 0.5  # between two ids that the bad client copies
BAD_AGE_S = (0.05, 0.15)  # age of the request whose id it copies


def copy_open_ids(platform: Platform, bad: BadClient, ended: threading.Event) -> None:
    """Copies the id of one open request twice a second."""
    rng = random.Random(SEED)
    while not ended.wait(BAD_EVERY_S):
        now_s = time.monotonic()
        open_requests = [
            r
            for r in list(platform.known.values())
            if not r.replies and not r.copied and BAD_AGE_S[0] < now_s - r.sent_s < BAD_AGE_S[1]
        ]
        if open_requests:
            request = rng.choice(open_requests)
            request.copied = True

            def build(client: ThriftRouter, rid: str = request.rid) -> None:
                client.abort(client.invoke("company-read", b"bad", rid=rid, acct=TENANTS[0]))

            bad.write(f"sent {request.rid}, and took it back", build)


def case(bench: Bench) -> bool:
    """Plays the case; returns whether the rule held."""
    platform = Platform(bench)
    ended = threading.Event()
    if trouble():
        bad = BadClient(platform.address, bench.record)
        threading.Thread(target=copy_open_ids, args=(platform, bad, ended), daemon=True).start()
    platform.send_load(SERVICE_S)
    ended.set()
    return platform.rule_held(SERVICE_S)


if __name__ == "__main__":
    play(Path(__file__).parent, case)
