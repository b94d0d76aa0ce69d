"""Stand-in of a worker that runs tasks under a lease."""

import asyncio
import contextlib
import json
import time

from .http import Server

MAX_HOLD_MS = 6_000
STOP_MS = 50
MAX_LISTED = 500


class Run:
    """A run that the worker has begun."""

    def __init__(self, task, run_id, born):
        self.task = task
        self.run_id = run_id
        self.key = (task, run_id)
        self.born = born
        self.begun_s = time.monotonic()
        self.ended_s = None
        self.end = ""

    def overlaps(self, other):
        """Whether both runs were there at one moment."""
        ends = [run.ended_s or float("inf") for run in (self, other)]
        return self.begun_s < ends[1] and other.begun_s < ends[0]


class Worker:
    """A worker; `task_s` returns how long a task works, `how` how it ends.

    `is_unhealthy` makes it answer starts with 503 and do nothing.
    """

    def __init__(
        self,
        store,
        record,
        worker_id,
        service,
        zone="a",
        cpu=8_000,
        task_s=None,
        labels=(),
    ):
        self._store = store
        self._record = record
        self.worker_id = worker_id
        self.service = service
        self.zone = zone
        self.cpu = cpu
        self.task_s = task_s or (lambda task: 0.3)
        self.labels = labels
        self.how = lambda task: "done"
        # How long an answer to a hold is on its way.
        self.hold_delay_s = 0.0
        # How long a start may take. It is carried out earlier when a hold arrives,
        # right after the lists for that hold are made.
        self.start_delay_s = 0.0
        # Falls silent after its next answer to a hold.
        self.is_silent_after_hold = False
        # Crashes after its next answer that lists an end, which is on its way so long.
        self.late_end_s = 0.0
        self.is_unhealthy = False
        self.server = Server(self._serve)
        self.all_runs = []
        self.n_starts_received = {}
        self._begin_life()

    def _begin_life(self):
        self.born = int(time.time() * 1000)
        self._zero_s = time.monotonic() - 1.0
        self._running = {}
        self._asked = {}
        self._sizes = {}
        self._highest = {}
        self._ends = []
        self.n_ends = 0
        self.is_up = True
        # Holds that were answered in this life.
        self.n_holds = 0
        self._token = 0
        self._until_ms = 0
        self._ended = asyncio.Event()
        self._listed = asyncio.Event()

    @property
    def clock_ms(self):
        """The worker's own steady clock."""
        return int((time.monotonic() - self._zero_s) * 1000)

    @property
    def machine(self):
        """Name of its machine."""
        return f"m-{self.worker_id.partition('.')[0]}"

    def report(self):
        """Return what the worker says of itself."""
        return {
            "service": self.service,
            "address": self.server.address,
            "zone": self.zone,
            "version": "v1",
            "capacity": 8,
            "state": "ready",
            "sequence": 1,
            "machine": self.machine,
            "freeCapacity": {"cpu": self.cpu, "memMb": 32_000, "gpus": 0},
            "labels": ["kind-a", f"r-{self.zone}", *self.labels],
            "born": self.born,
        }

    async def start(self):
        """Listen and register."""
        await self.server.start()
        self._task = asyncio.create_task(self._run())
        self.register()

    def register(self):
        """Write the entry to the store."""
        entry = json.dumps(self.report()).encode()
        self._store.put(f"servers/{self.worker_id}", entry)

    def go_dark(self):
        """End this life without a word: all that runs is gone, nothing is answered."""
        self._record(f"worker {self.worker_id}: falls silent, its runs are gone")
        self._end_life()
        self.server.is_dark = True

    def crash(self):
        """End this life: all that runs is gone, connections are reset."""
        self._record(f"worker {self.worker_id}: crashes, its runs are gone")
        self._end_life()
        self.server.crash()

    def _end_life(self):
        for run in self._running.values():
            run.end, run.ended_s = "gone", time.monotonic()
        self._task.cancel()
        self._running = {}
        self.is_up = False

    async def listen_again(self):
        """Listen after a crash."""
        await self.server.start()

    def restart(self, register_after_s=0.0):
        """Begin a new life at the same address, under the same id."""
        self._begin_life()
        self.server.wake()
        self._task = asyncio.create_task(self._run())
        asyncio.get_running_loop().call_later(register_after_s, self.register)
        self._record(f"worker {self.worker_id}: is back, born {self.born}")

    async def _run(self):
        while True:
            await asyncio.sleep(0.01)
            if self._running and self.clock_ms > self._until_ms:
                for run in list(self._running.values()):
                    self._end(run, "lapsed")
            for run in list(self._running.values()):
                asked_s = self._asked.get(run.key)
                if asked_s is not None:
                    if time.monotonic() - asked_s > STOP_MS / 1000:
                        self._end(run, "stopped")
                elif time.monotonic() - run.begun_s >= self.task_s(run.task):
                    self._end(run, self.how(run.task))

    def _percent(self, run):
        """Return the progress of a run; a task that lasts is at work at once."""
        done = (time.monotonic() - run.begun_s) / self.task_s(run.task)
        return min(99, int(100 * done)) if done else 100

    def _end(self, run, how):
        del self._running[run.key]
        self._asked.pop(run.key, None)
        self._sizes.pop(run.key, None)
        self._highest[run.task] = max(self._highest.get(run.task, 0), run.run_id)
        run.end, run.ended_s = how, time.monotonic()
        self.n_ends += 1
        self._ends.append([self.n_ends, run.task, run.run_id, how, ""])
        self._record(f"worker {self.worker_id}: {run.task} run {run.run_id} ends {how}")
        self._ended.set()
        self._ended = asyncio.Event()

    async def _serve(self, request):
        target = request.headers.get("x-apricotgap-target-instance")
        if target is not None and target != self.worker_id:
            return 421, {}
        body = request.json()
        token = body.get("fencingToken", 0)
        if token < self._token:
            return self._refuse("fence")
        if request.path == "/v1/run-start":
            if self.is_unhealthy:
                return 503, {}
            if self.start_delay_s:
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self._listed.wait(), self.start_delay_s)
            if token < self._token:
                return self._refuse("fence")
            self._token = token
            return self._start(body)
        self._token = token
        if request.path == "/v1/run-stop":
            return self._stop(body)
        if request.path == "/v1/pace":
            return 200, {"clockMs": self.clock_ms}
        if request.path == "/v1/hold":
            return await self._hold(body)
        return 400, {}

    def _refuse(self, reason):
        return 409, {"clockMs": self.clock_ms, "reason": reason}

    def _extend(self, deadline_ms):
        until_ms = min(deadline_ms, self.clock_ms + MAX_HOLD_MS)
        self._until_ms = max(self._until_ms, until_ms)

    def _start(self, body):
        task, run_id = body["task"], body["runId"]
        if body["deadlineMs"] <= self.clock_ms:
            return self._refuse("late")
        self._extend(body["deadlineMs"])
        if (task, run_id) in self._running:
            return 200, {"clockMs": self.clock_ms}
        if run_id <= self._highest.get(task, 0):
            return self._refuse("old")
        size = json.loads(body["spec"]).get("cpu", 100)
        if sum(self._sizes.values()) + size > self.cpu:
            return self._refuse("room")
        run = Run(task, run_id, self.born)
        self._running[run.key] = run
        self._sizes[run.key] = size
        self.all_runs.append(run)
        self._record(f"worker {self.worker_id}: {task} run {run_id} begins")
        return 200, {"clockMs": self.clock_ms}

    def _stop(self, body):
        task, run_id = body["task"], body["runId"]
        self._highest[task] = max(self._highest.get(task, 0), run_id)
        if (task, run_id) in self._running:
            self._asked.setdefault((task, run_id), time.monotonic())
        return 200, {"clockMs": self.clock_ms}

    async def _hold(self, body):
        self._extend(body.get("deadlineMs", 0))
        self._ends = [row for row in self._ends if row[0] > body["lastSeen"]]
        if not self._ends and body.get("waitMs"):
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._ended.wait(), body["waitMs"] / 1000)
        running = [
            [run.task, run.run_id, "", self._percent(run), 0.1]
            for run in self._running.values()
        ]
        self.n_holds += 1
        is_last = self.late_end_s and self._ends
        if self.is_silent_after_hold:
            self.is_silent_after_hold = False
            asyncio.get_running_loop().call_later(0.01, self.go_dark)
        answer = {
            "clockMs": self.clock_ms,
            "born": self.born,
            "running": running,
            "finished": self._ends[:MAX_LISTED],
        }
        self._listed.set()
        self._listed = asyncio.Event()
        if is_last:
            late_s, self.late_end_s = self.late_end_s, 0.0
            self._record(f"worker {self.worker_id}: sends {answer}, {late_s} s late")
            asyncio.get_running_loop().call_later(0.01, self.crash)
            return 200, answer, late_s
        if self.hold_delay_s:
            await asyncio.sleep(self.hold_delay_s)
        return 200, answer
