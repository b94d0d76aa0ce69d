"""Instance processes whose store holds odd records at all keys that they read."""

import cbor2
import pytest
import trio

from apricotgap.instance import keys
from apricotgap.jobs.documents import encode_job
from soak.cluster import SERVICE, SIGKILL, open_cluster
from tests.jobs_harness import job

JOB = {"spec": "x", "steps": [{"count": 2, "cpu": 500, "memMb": 10}]}
ODD_JOB_ID, JOB_ID, LATER_ID = "b" * 16, "a" * 16, "c" * 16
# Longer than the lease of the killed owner, the ranks of the next and those of workers.
TAKEOVER_S = 25
ODD = {
    "cut": b"\x9b\x00",
    "nested": b"[" * 10_000,
    "list that contains itself": b"\xd8\x1c\x81\xd8\x1d\x00",
    "number of 5,000 digits": cbor2.dumps([1, 10**5_000]),
    "other types": cbor2.dumps([[1], {"a": None}, 1e300, "x", 0]),
}


def odd_job():
    """Return a stored job whose fields have the types of others."""
    row = cbor2.loads(encode_job(job(ODD_JOB_ID)))
    row[9] = "first"
    return cbor2.dumps(row)


def put_odd_records(store, data):
    """Write bytes to one key of each kind that an instance reads but does not own."""
    for key in (
        f"{keys.MEMBERS_PREFIX}odd",
        f"{keys.OWNERS_PREFIX}odd",
        f"{keys.SHARDS_PREFIX}odd",
        keys.job_key(SERVICE, ODD_JOB_ID),
        keys.progress_key(SERVICE, ODD_JOB_ID),
        keys.limit_key("bakers"),
        keys.epoch_key(SERVICE),
        keys.epoch_key("fleet"),
        keys.FLEET_ORDERS_KEY,
        "waves/1",
        "waves/x",
        "op/wave/1",
        "op/wave/x",
        "op/evacuate/odd",
        "op/odd",
        "servers/odd",
    ):
        store.put(key, data)
    for key in (keys.roster_key(SERVICE), f"{keys.roster_key(SERVICE)}/settled"):
        store.put(key, data)


@pytest.mark.timeout(60)
@pytest.mark.parametrize("name", ODD)
def test_service_goes_on_after_a_takeover_among_odd_records(tmp_path, name):
    """Guards against a record that ends owner after owner, or each instance."""

    async def check(cluster):
        instance = cluster.instances[0]
        assert (await cluster.request(instance, "POST", JOB_ID, JOB))[0] == 200
        await cluster.until_succeeded(instance, JOB_ID)
        put_odd_records(cluster.store, ODD[name])
        cluster.store.put(keys.job_key(SERVICE, "d" * 16), odd_job())
        row = ["odd", "2-i", "127.0.0.1:9", "a", 0]
        cluster.store.put(f"{keys.MEMBERS_PREFIX}slow", cbor2.dumps(row))
        owner = cluster.owner()
        survivor = next(each for each in cluster.instances if each is not owner)
        pid = survivor.pid
        owner.signal(SIGKILL)
        with trio.fail_after(TAKEOVER_S):
            while cluster.owner() is not survivor:
                await trio.sleep(0.1)
            while (await cluster.request(survivor, "POST", LATER_ID, JOB))[0] != 200:
                await trio.sleep(0.2)
        await cluster.until_succeeded(survivor, LATER_ID)
        assert survivor.pid == pid
        assert not survivor.lines("shard_failed")
        assert survivor.lines("job_unreadable")

    async def main():
        async with open_cluster(tmp_path) as cluster:
            await check(cluster)

    trio.run(main)
