"""The cores of a stand-in machine, in real time, and the clock of a run (asyncio)."""

import asyncio

from ochrehoist.plan.cores import Cores, Machine


class RunClock:
    """The time in s since the run began; `restart` begins anew."""

    def __init__(self) -> None:
        self._started_s = asyncio.get_running_loop().time()

    def __call__(self) -> float:
        """The time now."""
        return asyncio.get_running_loop().time() - self._started_s

    def restart(self) -> None:
        """The run begins now."""
        self._started_s = asyncio.get_running_loop().time()


class MachineCores:
    """Work on the cores of one machine. Futures stand for what runs."""

    def __init__(self, machine: Machine, clock: RunClock) -> None:
        self._machine = machine
        self._clock = clock
        self._slowdown = 1.0  # factor of the work that comes
        self._cores = Cores(machine, clock())
        self._timer: asyncio.TimerHandle | None = None

    def advance(self) -> None:
        """Completes what has ended by now, and sets the timer for the next end."""
        now = self._clock()
        for future in self._cores.advance(now):
            assert isinstance(future, asyncio.Future)
            if not future.done():
                future.set_result(None)
        if self._timer is not None:
            self._timer.cancel()
        end_s = self._cores.next_end()
        if end_s is not None:
            delay_s = max(0.0, end_s - now)
            self._timer = asyncio.get_running_loop().call_later(delay_s, self.advance)

    async def work(self, seconds: float) -> None:
        """Returns once the cores have done so much. Cancelled where the machine is restarted meanwhile."""
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._cores.advance(self._clock())
        self._cores.start(future, seconds * self._slowdown)
        self.advance()
        await future

    @property
    def running_count(self) -> int:
        """How much runs now."""
        return len(self._cores.running)

    def busy_fraction(self) -> float:
        """The part of the cores that was busy lately."""
        self.advance()
        return self._cores.busy_share(self._clock())

    def set_slowdown(self, factor: float) -> None:
        """Work that comes from now on takes so many times longer; 1: as usual."""
        self._slowdown = factor

    def begin_run(self) -> None:
        """The clock of the run has just begun, and the machine is warm."""
        self._cores = Cores(self._machine, 0.0)

    def restart_cold(self) -> None:
        """Restarts the machine, where it can be cold; what runs on it is lost."""
        if not self._machine.cold_s:
            return
        lost = list(self._cores.running)
        self._cores = Cores(self._machine, self._clock(), cold=True)
        for future in lost:
            assert isinstance(future, asyncio.Future)
            future.cancel()
