"""The platform's store in virtual time, called without sockets."""

from base64 import b64decode
from contextlib import contextmanager

import trio

from apricotgap.instance.keys import OWNERS_PREFIX, decode_owner
from apricotgap.platform.http import HttpResponse, NoResponseError
from standins.serving import Exchange, now_ms
from standins.transactional_store import TransactionalStore

LINK_MS = 2
# How calls fail during an outage; a silent store lets them time out.
OUTAGE_MODES = ("refuse", "busy", "silent")
READ_PATHS = ("/v1/kv-key", "/v1/kv-range", "/v1/kv-watch", "/v1/kv-keep/")


class CallLimit:
    """Calls that all instances together may make; those of a second may come at once.

    `per_s` is None without a limit.
    """

    def __init__(self):
        self.per_s = None
        self.n_refused = 0
        self._n_free = 0.0
        self._since_s = float("-inf")

    def admits(self):
        """Count a call; whether it is within the limit."""
        if self.per_s is None:
            return True
        now_s = trio.current_time()
        refilled = (now_s - self._since_s) * self.per_s
        self._n_free = min(self.per_s, self._n_free + refilled)
        self._since_s = now_s
        if self._n_free < 1:
            self.n_refused += 1
            return False
        self._n_free -= 1
        return True


class VirtualStore(TransactionalStore):
    """Store that can be down, with leases that go on or pause meanwhile.

    `answer_ms` is what each answer takes beside the links. `reads` and `writes` are the
    limits on calls.

    `lapsed_epochs` has the shard and the epoch of each owner whose key went with its
    lease, and not by giving the shard up.
    """

    def __post_init__(self):
        super().__post_init__()
        self.outage = ""
        self.lapsed_epochs = set()
        self.lost_share = 0.0
        self.answer_ms = 0
        self.reads = CallLimit()
        self.writes = CallLimit()
        self._pauses_leases = False
        self._down_since_ms = 0
        self._open = set()

    @property
    def is_up(self):
        """Whether calls are answered."""
        return not self.outage

    def value(self, key):
        """Return the value of a key, None if it does not exist."""
        row = self.items.get(key)
        return None if row is None else b64decode(row.value)

    def begin_outage(self, mode, pauses_leases):
        """Answer no call from now on; watches that wait are cut."""
        self.outage, self._pauses_leases = mode, pauses_leases
        self._down_since_ms = now_ms()
        for scope in list(self._open):
            scope.cancel()

    def end_outage(self):
        """Answer calls again."""
        if self._pauses_leases:
            span_ms = now_ms() - self._down_since_ms
            self.leases = {
                lease: (ttl_ms, until_ms + span_ms)
                for lease, (ttl_ms, until_ms) in self.leases.items()
            }
        self.outage, self._pauses_leases = "", False
        self._expire()

    def _expire(self):
        if self._pauses_leases:
            return
        for lease, (_, until_ms) in list(self.leases.items()):
            if until_ms <= now_ms():
                self._note_lapsed(lease)
                self._end(lease)

    def _note_lapsed(self, lease):
        for key, row in self.items.items():
            if row.lease == lease and key.startswith(OWNERS_PREFIX):
                epoch = decode_owner(self.value(key)).epoch
                self.lapsed_epochs.add((key[len(OWNERS_PREFIX) :], epoch))

    async def answer(self, method, target, body):
        """Carry a call out and return its answer.

        Raises
        ------
        NoResponseError
            The store is down, or goes down before it answers.
        """
        if self.outage == "refuse":
            raise NoResponseError("ECONNREFUSED", sent=False)
        if self.outage == "busy":
            return HttpResponse(503, b"{}")
        if self.outage == "silent":
            await trio.sleep_forever()
        if not self._limit_of(target).admits():
            return HttpResponse(429, b"{}")
        if self.answer_ms:
            await trio.sleep(self.answer_ms / 1000)
        answers = []

        async def send(message):
            answers.append(message)

        path, _, query = target.partition("?")
        scope = {
            "method": method,
            "path": path,
            "query_string": query.encode(),
            "client": None,
            "headers": (),
        }
        exchange = Exchange(scope, None, send)
        exchange.body = body
        with self._cut_by_outage():
            await self._serve(exchange)
        if not answers:
            raise NoResponseError("ECONNRESET", sent=True)
        return HttpResponse(answers[0]["status"], answers[1]["body"])

    def _limit_of(self, target):
        """Renewals of leases count as reads."""
        is_read = target.startswith(READ_PATHS)
        return self.reads if is_read else self.writes

    @contextmanager
    def _cut_by_outage(self):
        with trio.CancelScope() as scope:
            self._open.add(scope)
            try:
                yield
            finally:
                self._open.discard(scope)


__all__ = ["LINK_MS", "OUTAGE_MODES", "VirtualStore"]
