"""Requests with odd headers, hosts, paths and bodies at an instance process."""

import json

import pytest
import trio

from soak.cluster import HOST, KEY, open_cluster
from tests.test_instance_stop import connect, receive_response

ID = "a" * 16
JOB = {
    "spec": "x",
    "steps": [{"count": 1, "cpu": 500, "memMb": 10, "estimatedMs": 100}],
}


def request(target=f"/plans/{ID}", host=HOST, method="GET", extra=(), body=b""):
    lines = [
        f"{method} {target} HTTP/1.1".encode("latin-1"),
        b"Host: " + host.encode("latin-1"),
        b"Api-Key: " + KEY.encode(),
        b"Content-Length: %d" % len(body),
        *(line.encode("latin-1") for line in extra),
    ]
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


def deadline(value):
    return request(extra=[f"X-Apricotgap-Request-Deadline: {value}"])


CASES = [
    *(
        (deadline(value), {410})
        for value in ("\xb2", "\xb3\xb9", "9" * 5_000, "-1", "1e3", "", " 3000 ", "0x1")
    ),
    # A deadline that has passed leaves no time for a read.
    *((deadline(value), {410, 503}) for value in ("0", "1", "000")),
    *(
        (request(host=host), {410, 404, 400})
        for host in ("", ":", "[::1]:80", HOST.upper(), f"{HOST}:x", "\xe9.example")
    ),
    *(
        (request(f"/plans/{path}"), {400, 404})
        for path in (
            "%ff" * 16,
            "%00" * 16,
            "%ed%a0%80",
            "\xe9" * 16,
            "..%2f..%2f",
            "%zz",
            "A" * 16,
            "\u00b2" * 16,
            "a" * 4_000,
            f"{ID}/",
            f"{ID}%0a",
        )
    ),
    *(
        (request(path), {404, 400, 405})
        for path in ("*", "http://h.example/", "//", "/%2e")
    ),
    (request(method="HEAD"), {405}),
    (request(method="BREW"), {405}),
    (request(method="POST", body=b"[" * 100_000), {400}),
    (request(method="POST", body=b"\xff"), {400}),
    (request(method="DELETE", body=b"x" * 300_000), {413}),
]


@pytest.mark.parametrize("is_owner", [True, False])
def test_odd_request_gets_a_status_of_its_own_and_the_others_go_on(tmp_path, is_owner):
    """Guards against a request that ends the process, or gets 500 or no answer."""

    async def main():
        async with open_cluster(tmp_path) as cluster:
            owner = cluster.owner()
            instance = next(
                each for each in cluster.instances if (each is owner) == is_owner
            )
            wrong = []
            for data, expected in CASES:
                async with await connect(instance.address) as stream:
                    await stream.send_all(data)
                    with trio.fail_after(5):
                        if data.startswith(b"HEAD"):
                            status = int((await stream.receive_some()).split()[1])
                        else:
                            response = await receive_response(stream)
                            status = response and response[0]
                if status not in expected:
                    wrong.append((data[:200], status))
            assert not wrong
            answer = await cluster.request(instance, "POST", ID, JOB)
            assert answer[0] == 200
            await cluster.until_succeeded(instance, ID)
            assert not instance.lines("request_failed")
            assert not instance.lines("connection_failed")
            assert json.dumps(instance.lines("call"))

    trio.run(main)
