"""Instance processes that stop: requests in progress, connections and signals."""

import json
import signal
from contextlib import aclosing
from random import Random

import pytest
import trio

from soak.cluster import HOST, KEY, SIGHUP, SIGTERM, open_cluster

JOB = {
    "spec": "x",
    "steps": [{"count": 1, "cpu": 500, "memMb": 10, "estimatedMs": 100}],
}
GRACE_S = 6

SIGSTOP = signal.SIGSTOP


def run(check, tmp_path, **options):
    async def main():
        async with open_cluster(tmp_path, **options) as cluster:
            await check(cluster)

    trio.run(main)


def request_bytes(method, path, body=b"", key=KEY):
    """Return a request as a client sends it."""
    return (
        f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nApi-Key: {key}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    ).encode() + body


async def receive_response(stream):
    """Return the status and the head of a response, None if it is not complete."""
    data = b""
    while b"\r\n\r\n" not in data:
        chunk = await stream.receive_some(65_536)
        if not chunk:
            return None
        data += chunk
    head, _, body = data.partition(b"\r\n\r\n")
    length = next(
        int(line.partition(b":")[2])
        for line in head.lower().split(b"\r\n")
        if line.startswith(b"content-length:")
    )
    while len(body) < length:
        chunk = await stream.receive_some(65_536)
        if not chunk:
            return None
        body += chunk
    return int(head.split()[1]), head.lower()


async def connect(address):
    host, _, port = address.partition(":")
    return await trio.open_tcp_stream(host, int(port))


async def answer_of(instance, data):
    """Send a request on its own connection; return status and duration in seconds."""
    async with await connect(instance.address) as stream:
        started_s = trio.current_time()
        await stream.send_all(data)
        try:
            response = await receive_response(stream)
        except trio.BrokenResourceError:
            response = None
        return response and response[0], trio.current_time() - started_s


def use_setting(instance, tmp_path, line):
    """Add a line to the bounds of an instance and start it anew."""
    path = tmp_path / f"{instance.name}.toml"
    path.write_text(path.read_text().replace("[bounds]", f"[bounds]\n{line}"))
    instance.stop()
    instance.start()


@pytest.mark.parametrize(("grace_s", "delay_s"), [(6, 0.0), (6, 2.0), (3, 1.0)])
@pytest.mark.parametrize("method", ["GET", "POST", "DELETE"])
def test_request_without_owner_and_store_is_answered_before_the_process_ends(
    tmp_path, method, grace_s, delay_s
):
    """Guards against a request that is cut by the end of the process.

    The owner and the store are silent, so that the instance needs the caller's whole
    deadline, or what is left of the time for its stop.
    """

    async def check(cluster):
        owner = cluster.owner()
        (instance,) = (each for each in cluster.instances if each is not owner)
        use_setting(instance, tmp_path, f"graceS = {grace_s}")
        await cluster.until_ready()
        owner.signal(SIGSTOP)
        stopped_s = trio.current_time()
        instance.signal(SIGTERM)
        await trio.sleep(delay_s)
        cluster.proxies[cluster.instances.index(instance)].silent_up = True
        body = json.dumps(JOB).encode() if method == "POST" else b""
        path = f"/plans/{'a' * 16}"
        status, _ = await answer_of(instance, request_bytes(method, path, body))
        # The owner or the store may have got the call, so that 503 would be wrong.
        assert status == (503 if method == "GET" else 504)
        assert trio.current_time() - stopped_s < grace_s * 5 / 6 + 0.1
        assert await trio.to_thread.run_sync(instance.wait, grace_s) == 0

    run(check, tmp_path)


def test_process_ends_as_soon_as_nothing_is_in_progress(tmp_path):
    """Guards against a stop that waits for its timeout with nothing left to do."""

    async def check(cluster):
        instance = cluster.instances[0]
        async with await connect(instance.address), await connect(instance.address):
            started_s = trio.current_time()
            instance.signal(SIGTERM)
            assert await trio.to_thread.run_sync(instance.wait, GRACE_S) == 0
            assert trio.current_time() - started_s < 3.2

    run(check, tmp_path, n_instances=1)


@pytest.mark.parametrize("number", [SIGHUP, SIGTERM])
def test_signals_while_it_stops_do_not_cut_a_request(tmp_path, number):
    """Guards against a second signal that ends the process at once."""

    async def check(cluster):
        instance = cluster.instances[0]
        cluster.proxies[0].silent_up = True
        answers = []

        async def ask():
            data = request_bytes("GET", f"/plans/{'a' * 16}")
            answers.append((await answer_of(instance, data))[0])

        async with trio.open_nursery() as nursery:
            instance.signal(SIGTERM)
            await trio.sleep(2.0)
            nursery.start_soon(ask)
            # Signals in series until the process has ended.
            while instance.is_running:
                await trio.sleep(0.1)
                if instance.is_running:
                    instance.signal(number)
        assert answers == [503]
        assert instance.wait(1) == 0

    run(check, tmp_path, n_instances=1)


def test_sighup_while_it_starts_does_not_end_the_process(tmp_path):
    """Guards against a reload that ends a process which does not handle it yet."""

    async def check(cluster):
        instance = cluster.instances[0]
        instance.stop()
        instance.start()
        # The interpreter takes a moment before it runs any line of the program.
        await trio.sleep(0.15)
        for _ in range(60):
            instance.signal(SIGHUP)
            await trio.sleep(0.02)
        assert instance.is_running
        await cluster.until_ready()

    run(check, tmp_path, n_instances=1)


class Client:
    """A client that keeps its connection and sends again and again on it."""

    def __init__(self, number, address, seed):
        self._number = number
        self._address = address
        self._random = Random(seed)
        self.answered = set()
        self.unanswered = set()

    async def run(self):
        n_sent = 0
        while True:
            try:
                stream = await connect(self._address)
            except OSError:
                return
            async with aclosing(stream):
                is_open = True
                while is_open:
                    path = f"/plans/{self._number:08x}{n_sent:08x}"
                    n_sent += 1
                    is_open = await self._call(stream, path)
                    await trio.sleep(self._random.random() * 0.6)

    async def _call(self, stream, path):
        response = None
        try:
            await stream.send_all(request_bytes("GET", path, key="unknown"))
            response = await receive_response(stream)
        except trio.BrokenResourceError:
            pass
        if response is None:
            self.unanswered.add(path)
            return False
        self.answered.add(path)
        return b"connection: close" not in response[1]


@pytest.mark.parametrize("seed", [1, 2])
def test_request_that_was_read_is_answered_while_connections_close(tmp_path, seed):
    """Guards against a request that is read from a connection that is being closed.

    The `call` line of the log tells that the instance has read a request.
    """

    async def check(cluster):
        instance = cluster.instances[0]
        # Below the rate at which log lines are dropped.
        clients = [Client(n, instance.address, seed * 1000 + n) for n in range(80)]
        with trio.fail_after(30):
            async with trio.open_nursery() as nursery:
                for client in clients:
                    nursery.start_soon(client.run)
                while sum(len(client.answered) for client in clients) < 200:
                    await trio.sleep(0.1 * seed)
                instance.signal(SIGTERM)
        assert instance.wait(1) == 0
        assert not instance.lines("log_lines_dropped")
        read = {line["path"] for line in instance.lines("call")}
        assert not read & set().union(*(client.unanswered for client in clients))

    run(check, tmp_path, n_instances=1)


def test_cancellations_at_an_owner_that_leaves_are_stored(tmp_path):
    """Guards against a cancellation that waits at a former owner for its deadline.

    Nothing stores the progress of the jobs at that owner any more.
    """

    async def check(cluster):
        owner = cluster.owner()
        job_ids = [f"{n:016x}" for n in range(20)]
        body = json.dumps({**JOB, "steps": [{**JOB["steps"][0], "count": 4}]}).encode()
        for job_id in job_ids:
            data = request_bytes("POST", f"/plans/{job_id}", body)
            assert (await answer_of(owner, data))[0] == 200
        answers = []

        async def cancel(number, job_id):
            await trio.sleep(0.015 * number)
            data = request_bytes("DELETE", f"/plans/{job_id}")
            answers.append(await answer_of(owner, data))

        async with trio.open_nursery() as nursery:
            for number, job_id in enumerate(job_ids):
                nursery.start_soon(cancel, number, job_id)
            await trio.sleep(0.15)
            owner.signal(SIGTERM)
        assert {status for status, _ in answers} == {200}
        assert max(took_s for _, took_s in answers) < 2

    run(check, tmp_path, task_ms=60_000)


class Submitter:
    """A client that submits jobs on connections that it keeps."""

    def __init__(self, number, instances):
        self._number = number
        self._instances = instances
        self._random = Random(number)
        self.answers = {}
        self.unanswered = {}

    async def run(self):
        n_sent = 0
        while True:
            instance = self._random.choice(self._instances)
            try:
                stream = await connect(instance.address)
            except OSError:
                await trio.sleep(0.05)
                continue
            async with aclosing(stream):
                is_open = True
                while is_open:
                    job_id = f"{self._number:08x}{n_sent:08x}"
                    n_sent += 1
                    is_open = await self._submit(stream, instance, job_id)
                    await trio.sleep(self._random.random())

    async def _submit(self, stream, instance, job_id):
        data = request_bytes("POST", f"/plans/{job_id}", json.dumps(JOB).encode())
        started_s = trio.current_time()
        response = None
        try:
            await stream.send_all(data)
            response = await receive_response(stream)
        except trio.BrokenResourceError:
            pass
        if response is None:
            self.unanswered[job_id] = instance
            return False
        self.answers[job_id] = (response[0], trio.current_time() - started_s)
        return b"connection: close" not in response[1]


def test_instances_that_stop_in_turn_answer_all_that_they_read(tmp_path):
    """Guards against a submission in flight to an owner that leaves, and its loss.

    Shards move while their next owners stop too.
    """

    async def check(cluster):
        clients = [Submitter(n, cluster.instances) for n in range(30)]
        async with trio.open_nursery() as nursery:
            for client in clients:
                nursery.start_soon(client.run)
            for _ in range(2):
                for instance in cluster.instances:
                    await trio.sleep(1.0)
                    instance.signal(SIGTERM)
                    # Its successor may stop before this one has ended.
                    nursery.start_soon(restart_when_ended, instance)
            await trio.sleep(6)
            nursery.cancel_scope.cancel()
        answers = {}
        for client in clients:
            answers |= client.answers
        assert len(answers) > 200
        slowest_s = max(took_s for _, took_s in answers.values())
        assert slowest_s < 3.2
        assert {status for status, _ in answers.values()} <= {200, 503, 504}
        for client in clients:
            for job_id, instance in client.unanswered.items():
                paths = {line["path"] for line in instance.lines("call")}
                assert f"/plans/{job_id}" not in paths
        for job_id, (status, _) in answers.items():
            if status == 200:
                await cluster.until_succeeded(cluster.instances[0], job_id, 20)

    run(check, tmp_path, n_instances=3, n_workers=4)


async def restart_when_ended(instance):
    while instance.is_running:
        await trio.sleep(0.05)
    instance.start()
