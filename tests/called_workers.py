"""Workers that are called at their addresses, with the bodies of the platform."""

from abc import abstractmethod

import trio

from apricotgap.jobs.effects import StartRun
from apricotgap.jobs.model import TaskName
from apricotgap.platform.http import NoResponseError
from tests.worker_pool import WorkerPool


class CalledWorkers(WorkerPool):
    """Workers that check the target and the fencing token of each call.

    Parameters
    ----------
    seed, n_workers
        As for `WorkerPool`.
    """

    # Long polls of many workers take most of a day's time.
    HOLD_STEP_MS = 25

    def __init__(self, seed, n_workers):
        super().__init__(seed, n_workers)
        # Workers that no call reaches, and those whose machine refuses connections.
        self.unreachable = set()
        self.refusing = set()
        # Which worker listens at an address.
        self.listening = {
            each.address: each.worker_id for each in self.entries.values()
        }
        # Late polls that acknowledged ends of an earlier incarnation.
        self.n_foreign_acknowledgements = 0
        self._tokens = {}

    @abstractmethod
    def _started(self, order, worker, token):
        """Note that a worker has begun a run."""

    async def call_worker(self, address, worker_id, path, body, timeout_ms):
        """Call what listens at an address; return the status and the document.

        Raises
        ------
        NoResponseError
            No answer in time, or no connection.
        """
        listener = self.listening[address]
        if listener in self.refusing and not self.workers[listener].is_up:
            await trio.sleep(0.001)
            raise NoResponseError("ECONNREFUSED", sent=False)
        if listener in self.unreachable:
            await trio.sleep(timeout_ms / 1000)
            raise NoResponseError("connect timeout", sent=False)
        results = []
        answered = trio.Event()
        sent_ms = self.now

        def done(result):
            results.append(result)
            answered.set()

        def serve(worker, reply):
            # Such a poll drops ends unseen, and no owner can bar it: a known limit.
            acknowledges_others = body.get("lastSeen", 0) > worker.n_ends
            if acknowledges_others and self.now - sent_ms > timeout_ms:
                self.n_foreign_acknowledgements += 1
                return
            self._serve(worker, worker_id, path, body, reply)

        self._call(listener, timeout_ms, serve, done)
        await answered.wait()
        if results[0] is None:
            raise NoResponseError("timeout", sent=True)
        status, document = results[0]
        if "finished" in document:
            self._note_told(listener, document)
        return status, document

    def _note_told(self, worker_id, document):
        incarnation = (worker_id, document["born"])
        last = max((row[0] for row in document["finished"]), default=0)
        self._told[incarnation] = max(self._told.get(incarnation, 0), last)

    def _serve(self, worker, worker_id, path, body, reply):
        if worker.worker_id != worker_id:
            reply((421, {}))
            return
        clock_ms = worker.clock(self.now)
        incarnation = (worker_id, worker.born_ms)
        token = body["fencingToken"]
        if token < self._tokens.get(incarnation, 0):
            reply((409, {"clockMs": clock_ms, "reason": "fence"}))
            return
        self._tokens[incarnation] = token
        if path == "/v1/hold":
            self._serve_hold(worker, body, reply)
        elif path == "/v1/run-start":
            reply(self._serve_start(worker, body, token))
        elif path == "/v1/run-stop":
            key = (TaskName.parse(body["task"]), body["runId"])
            self._stop_run(worker, key)
            reply((200, {"clockMs": clock_ms}))
        else:
            reply((200, {"clockMs": clock_ms}))

    def _serve_hold(self, worker, body, reply):
        def answer(state):
            born_ms, clock_ms, running, ends = state
            document = {
                "clockMs": clock_ms,
                "born": born_ms,
                "running": [
                    [str(run.name), run.run_id, "", 50, 0.0] for run in running
                ],
                "finished": [
                    [end.number, str(end.name), end.run_id, end.end.value, ""]
                    for end in ends
                ],
            }
            reply((200, document))

        worker.extend(self.now, body.get("deadlineMs", 0))
        self._note(worker, body["lastSeen"])
        until_ms = self.now + body.get("waitMs", 0)
        self._answer_hold(worker, worker.born_ms, until_ms, answer)

    def _serve_start(self, worker, body, token):
        order = StartRun(
            worker.worker_id,
            "",
            worker.born_ms,
            TaskName.parse(body["task"]),
            body["runId"],
            body["spec"],
            body["deadlineMs"],
            "",
        )
        is_new = (order.name, order.run_id) not in worker.running
        kind = self._start_run(worker, order)
        document = {"clockMs": worker.clock(self.now)}
        if kind != "ok":
            return 409, {**document, "reason": kind}
        if is_new:
            self._started(order, worker, token)
        return 200, document


__all__ = ["CalledWorkers"]
