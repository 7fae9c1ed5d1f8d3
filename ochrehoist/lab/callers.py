"""The callers of a play: whom they call, by a stand-in balancer, how often they try, and what they are told
(asyncio)."""

import asyncio
from collections.abc import Callable
from contextlib import suppress
from random import Random
from typing import Any, Protocol

from ochrehoist.lab import judge
from ochrehoist.lab.balancer import Balancer
from ochrehoist.lab.ends import Front, request
from ochrehoist.lab.judge import CallMade, Try
from ochrehoist.lab.relays import Connections
from ochrehoist.lab.scenario import Scenario

MARGIN_S = 1.0  # s beside the machine's own lateness that an answer may come late by
CHECK_S = 0.5  # that a check waits for an answer


class Asker(Protocol):
    """One worker as callers reach it. A refused connection raises ConnectionRefusedError."""

    async def ask(self, call: CallMade, attempt: int, work: float) -> int:
        """The status of the answer. ConnectionError where none came whole."""
        ...


class AjpAsker:
    def __init__(self, name: str, address: tuple[str, int]) -> None:
        self.name, self.front = name, Front(address)

    async def ask(self, call: CallMade, attempt: int, work: float) -> int:
        headers = (
            {
                "x-call": str(call.number),
                "x-attempt": str(attempt),
                "x-worker": self.name,
                "x-work": f"{work:.6f}",
                "x-tenant": call.tenant,
            }
            | ({"idempotency-key": call.key} if call.key else {})
            | ({"x-retry": "1"} if attempt else {})
        )
        method, body = ("POST", b"a filing") if call.key else ("GET", b"")
        return await self.front.ask(request(method, f"/{call.cls}/{call.subject}", headers, body))


class Callers:
    """Makes the calls of a scenario. `factor` multiplies the rate while it is changed."""

    def __init__(
        self,
        scenario: Scenario,
        seed: int,
        now: Callable[[], float],
        askers: dict[str, Asker],
        checks: dict[str, tuple[Connections, Connections]],
        life: Callable[[str], int],
    ) -> None:
        """`checks`: of each worker, the links to its agent and to its front; `life`: which process it is
        now."""
        self.scenario, self.seed, self.now, self.askers, self.life = scenario, seed, now, askers, life
        self.checks, self.factor = checks, 1.0
        self.rng = {s: Random(f"{seed}/{s}") for s in ("calls", "tries")}
        self.balancer = Balancer(askers, scenario.balancer)
        self.calls: list[CallMade] = []
        self.weights: list[tuple[float, str, int]] = []  # when the balancer learned which weight of whom

    # ---- load
    async def run(self, progress: Callable[[float], None]) -> None:
        s, rng = self.scenario, self.rng["calls"]
        at, number, open_calls = 0.0, 0, []
        tenants = list(s.tenants)
        while at < s.seconds:
            number += 1
            c = rng.choices(s.classes, [c.share for c in s.classes])[0]
            work, tenant = rng.expovariate(1000 / c.work_ms), rng.choice(tenants)
            key = f"k{self.seed}-{number}" if c.keyed else ""
            call = CallMade(
                number, c.name, tenant, c.worth, at, at + c.aim_ms / 1000, at + c.deadline_ms / 1000, key
            )
            hot = s.load.hot_share and rng.random() < s.load.hot_share
            call.subject = number if c.keyed else 0 if hot else rng.randint(1, s.load.subjects)
            await asyncio.sleep(max(0.0, at - self.now()))
            self.calls.append(call)
            open_calls.append(asyncio.create_task(self._call(call, min(work, 5 * c.work_ms / 1000))))
            progress(min(1.0, at / s.seconds))
            at += rng.expovariate(s.load.rate * self.factor)
        await asyncio.gather(*open_calls)

    async def _call(self, call: CallMade, work: float) -> None:
        s, rng, n = self.scenario.load, self.rng["tries"], 0
        while n < s.tries or s.endless:
            t = await self._try(call, n, work)
            n += 1
            if t.status == judge.SERVED:
                return
            wait = 0.01 if s.endless else s.wait_ms / 1000 * rng.uniform(1, 2)
            if self.now() + wait >= call.due:
                return
            await asyncio.sleep(wait)

    async def _try(self, call: CallMade, attempt: int, work: float) -> Try:
        """One try; where connections are refused and the balancer sends them on, up to one of each worker."""
        refused: list[str] = []
        while True:
            # What may have run is asked for where it went before; all else goes where the balancer will.
            kept_to = next(
                (
                    t.worker
                    for t in reversed(call.tries)
                    if call.key and t.status not in (judge.REFUSED, judge.UNREACHED)
                ),
                None,
            )
            name = kept_to or self.balancer.pick(call.subject, refused)
            t = Try(name, self.life(name), self.now())
            call.tries.append(t)
            try:
                left = call.due - call.at + 2 * MARGIN_S
                t.status = await asyncio.wait_for(self.askers[name].ask(call, attempt, work), left)
            except ConnectionRefusedError:
                t.status = judge.UNREACHED
                self.balancer.connection_refused(name)
                refused.append(name)
            except (OSError, TimeoutError):
                pass
            t.ended = self.now() if t.status > 0 else None
            again = t.status == judge.UNREACHED and self.scenario.balancer.redispatch and not kept_to
            if not again or len(refused) >= len(self.askers) or self.now() >= call.due:
                return t

    # ---- what the balancer asks
    async def check(self, name: str) -> None:
        """Asks one worker again and again: what its agent says, and whether its front can be reached."""
        agent, front = self.checks[name]
        while True:
            line, well = await asyncio.gather(self._line(agent), self._reached(front))
            before = self.balancer.weight(name)
            if line is not None:
                self.balancer.agent_reported(name, line)
            self.balancer.health_checked(name, well)
            if self.balancer.weight(name) != before:
                self.weights.append((self.now(), name, self.balancer.weight(name)))
            await asyncio.sleep(self.scenario.balancer.check_s)

    @staticmethod
    async def _line(link: Connections) -> bytes | None:
        writer: Any = None
        try:
            async with asyncio.timeout(CHECK_S):
                reader, writer = await asyncio.open_connection(*link.address)
                return await reader.readline() or None
        except (OSError, TimeoutError):
            return None
        finally:
            if writer is not None:
                writer.close()

    @staticmethod
    async def _reached(link: Connections) -> bool:
        with suppress(OSError, TimeoutError):
            async with asyncio.timeout(CHECK_S):
                _, writer = await asyncio.open_connection(*link.address)
                writer.close()
                return True
        return False
