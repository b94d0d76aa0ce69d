"""Pages of the list of machines with odd rows, or without end."""

import pytest
import trio

from apricotgap.platform.machines import MachineClient, MachineListError
from tests.answering_http import Http


def client_of(*documents):
    client = MachineClient("10.0.0.1:1", "me")
    client._http = Http(*documents)
    return client


MACHINE = {"machine": "m1", "pool": "s", "state": "up"}


@pytest.mark.parametrize(
    "odd", [None, 5, [], {}, MACHINE | {"state": 1}, MACHINE | {"labels": [1]}]
)
def test_odd_machine_leaves_the_others(odd):
    """Guards against one machine that keeps the fleet's owner from all others, and
    against one that counts as missing since its row is odd.
    """
    page = {"machines": [odd, MACHINE | {"machine": "m2"}]}
    client = client_of(page)
    listed = trio.run(client.machines)
    assert list(listed.machines) == ["m2"]
    has_name = isinstance(odd, dict) and "machine" in odd
    assert listed.unreadable == ({"m1"} if has_name else set())
    assert listed.n_unnamed == (not has_name)
    assert listed.lacks("m3") == has_name
    assert not listed.lacks("m1")


def test_pages_of_machines_without_end_are_an_error():
    """Guards against a list of machines that the fleet's owner reads for good."""
    client = client_of({"machines": [MACHINE], "nextPageToken": "2"})
    with pytest.raises(MachineListError, match="no end"):
        trio.run(client.machines)


def test_token_of_a_page_is_quoted():
    """Guards against a token that makes a malformed request."""
    client = client_of({"machines": [], "nextPageToken": "a b&c"}, {"machines": []})
    trio.run(client.machines)
    assert client._http.targets[1] == "/v1/machines?pageToken=a%20b%26c"
