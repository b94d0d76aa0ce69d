"""A store in memory that checks the conditions of writes."""

import trio

from apricotgap.instance.keys import owner_key
from apricotgap.platform.store import Conflict, Item, Rejected, Stored, Unknown
from tests.jobs_harness import SERVICE


class ConditionalStore:
    """Checks conditions as the contract says; a conflict shows existing keys only.

    It rejects transactions with one of the keys in `rejected`.
    """

    def __init__(self):
        self.revisions = {owner_key(SERVICE): 5}
        self.at = 100
        self.rejected = set()
        self.n_writes = 0
        self.is_down = False

    async def write(self, writes):
        await trio.sleep(0.005)
        self.n_writes += 1
        if self.rejected.intersection(write.key for write in writes):
            return Rejected("status 400")
        checked = [write for write in writes if write.expected_revision is not None]
        if any(
            self.revisions.get(write.key, 0) != write.expected_revision
            for write in checked
        ):
            found = [write.key for write in checked if write.key in self.revisions]
            return Conflict(
                tuple(Item(key, b"x", self.revisions[key]) for key in found)
            )
        self.at += 1
        for write in writes:
            if write.value is not None:
                self.revisions[write.key] = self.at
        return Stored(self.at)

    async def read_key(self, key):
        revision = self.revisions.get(key, 0)
        return Item(key, b"x" if revision else None, revision)


class ValueStore:
    """Keeps values, and shows them to a view of the cluster if there is one."""

    is_down = False

    def __init__(self):
        self.items = {}
        self.revision = 10
        self.cluster_view = None
        self.before_write = None

    def put(self, key, value):
        self.revision += 1
        if value is None:
            self.items.pop(key, None)
        else:
            self.items[key] = Item(key, value, self.revision)
        if self.cluster_view is not None:
            self.cluster_view.apply(Item(key, value, self.revision))

    async def read_key(self, key):
        return self.items.get(key, Item(key, None, 0))

    async def write(self, writes, timeout_ms=0):
        await trio.sleep(0.005)
        if self.before_write is not None:
            self.before_write(writes)
        checked = [each for each in writes if each.expected_revision is not None]
        found = tuple(self.items[w.key] for w in checked if w.key in self.items)
        for each in checked:
            item = self.items.get(each.key)
            if (item.revision if item else 0) != each.expected_revision:
                return Conflict(found)
        for each in writes:
            if not each.check_only:
                self.put(each.key, each.value)
        return Stored(self.revision)


class LateStore(ConditionalStore):
    """Loses the answer of its first write, which takes effect after the second.

    It does so only if its conditions still hold then. `values` holds what is stored.
    """

    def __init__(self):
        super().__init__()
        self.values = {}
        self._late = None

    async def write(self, writes):
        if self._late is None:
            self._late = writes
            return Unknown("timeout")
        outcome = await self._apply(writes)
        late, self._late = self._late, ()
        if late:
            await self._apply(late)
        return outcome

    async def _apply(self, writes):
        outcome = await super().write(writes)
        if isinstance(outcome, Stored):
            self.values |= {write.key: write.value for write in writes if write.value}
        return outcome
