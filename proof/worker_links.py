"""Calls of workers and of the platform by the fakes of entry instances."""

from collections.abc import Callable

from apricotgap.core import effects as fx
from apricotgap.core import events as ev
from proof.fake_entry import EventBuilder, FakeEntry
from proof.harness_state import HarnessState

__all__ = ["WorkerLinks"]

_CONNECT_TIMEOUT_MS = 1_000
_PROBE_TIMEOUT_MS = 1_500
_BOOT_MS = 1_500
# How often a cut path is tried again; TCP resends at similar intervals.
_RESEND_MS = 250


class WorkerLinks(HarnessState):
    """Delivers calls to workers, and their answers.

    Parameters
    ----------
    seed, link_ms
        As for `HarnessState`.
    """

    def _generation(self, entry: str, instance: str) -> int:
        return self._generations.get((entry, instance), 0)

    def _path_cut(self, entry: FakeEntry, instance: str) -> bool:
        centres = frozenset(
            (entry.identity.data_centre, self.worker_data_centre[instance])
        )
        pair = frozenset((entry.identity.entry, instance))
        return centres in self.cut_links or pair in self.cut_links

    def _over(
        self, entry: FakeEntry, instance: str, connection: tuple[str, str, int]
    ) -> Callable[[EventBuilder], None]:
        """Return a post that a silent connection drops and a cut path delays."""

        def post(build: EventBuilder) -> None:
            if connection in self._silent or not entry.alive:
                return
            if self._path_cut(entry, instance):
                self.schedule.after(_RESEND_MS, lambda: post(build))
                return
            entry.post(build)

        return post

    def _dispatch(self, entry: FakeEntry, effect: fx.Dispatch) -> None:
        name, instance = entry.identity.entry, effect.instance
        connection = (name, instance, self._generation(name, instance))
        worker = self.workers.get(instance)
        if effect.request_id not in entry.request_bodies:
            self._not_sent(entry, effect, 0, "the request body is gone")
        elif worker is None or worker.down:
            self._not_sent(entry, effect, self.link_ms, "refused")
        elif connection in self._silent:
            return
        elif self._path_cut(entry, instance) and connection not in self._opened:
            self._not_sent(entry, effect, _CONNECT_TIMEOUT_MS, "connect timeout")
        else:
            self._opened.add(connection)
            delay_ms = self.link_ms + worker.extra_link_ms
            body = entry.request_bodies[effect.request_id]
            self.schedule.after(
                delay_ms, lambda: self._arrive(entry, effect, connection, body)
            )

    def _not_sent(
        self, entry: FakeEntry, effect: fx.Dispatch, after_ms: float, message: str
    ) -> None:
        self.schedule.after(
            after_ms,
            lambda: entry.post(
                lambda at: ev.TaskFailed(at, effect.task_id, False, False, message)
            ),
        )

    def _arrive(
        self,
        entry: FakeEntry,
        effect: fx.Dispatch,
        connection: tuple[str, str, int],
        body: bytes,
    ) -> None:
        """Deliver a task; over a cut path it arrives when the path heals."""
        if connection in self._silent:
            return
        if self._path_cut(entry, effect.instance):
            if entry.alive:
                self.schedule.after(
                    _RESEND_MS, lambda: self._arrive(entry, effect, connection, body)
                )
            return
        plain = self._over(entry, effect.instance, connection)

        def post(build: EventBuilder) -> None:
            def keep_answer(at: int) -> ev.Event:
                event = build(at)
                if isinstance(event, ev.TaskCompleted):
                    entry.task_answers[event.task_id] = b"answer to " + body
                return event

            plain(keep_answer)

        self.workers[effect.instance].start(effect, post, self.link_ms)

    def _probe_worker(self, entry: FakeEntry, effect: fx.ProbeWorker) -> None:
        name, instance = entry.identity.entry, effect.instance
        connection = (name, instance, self._generation(name, instance))
        silent = connection in self._silent and not effect.fresh
        worker = self.workers.get(instance)
        sent_ms = self.now_ms

        def unreachable(after_ms: float) -> None:
            self.schedule.after(
                after_ms,
                lambda: entry.post(lambda at: ev.WorkerUnreachable(at, instance)),
            )

        def ask() -> None:
            if worker is None or worker.down:
                unreachable(self.link_ms)
            else:
                worker.report(instance, entry.post, self.link_ms, sent_ms)

        if silent or self._path_cut(entry, instance):
            unreachable(_PROBE_TIMEOUT_MS)
        else:
            self.schedule.after(self.link_ms, ask)

    def _probe_task(self, entry: FakeEntry, effect: fx.ProbeTask) -> None:
        def unanswered(after_ms: float) -> None:
            self.schedule.after(
                after_ms,
                lambda: entry.post(lambda at: ev.TaskProbed(at, effect.task_id, None)),
            )

        def ask() -> None:
            worker = self.workers.get(effect.instance)
            if worker is None or worker.down:
                unanswered(self.link_ms)
            else:
                worker.probe(effect.task_id, entry.post, self.link_ms)

        if self._path_cut(entry, effect.instance):
            unanswered(_PROBE_TIMEOUT_MS)
        else:
            self.schedule.after(self.link_ms, ask)

    def _control(self, entry: FakeEntry, effect: fx.Effect) -> None:
        instance: str = effect.instance  # type: ignore[attr-defined]
        name = entry.identity.entry
        connection = (name, instance, self._generation(name, instance))
        worker = self.workers.get(instance)
        down = worker is None or worker.down
        if down or connection in self._silent or self._path_cut(entry, instance):
            self._control_failed(entry, effect, _PROBE_TIMEOUT_MS)
            return

        def arrive() -> None:
            if not self.workers[instance].control(effect):
                self._control_failed(entry, effect, self.link_ms)

        self.schedule.after(self.link_ms, arrive)

    def _control_failed(
        self, entry: FakeEntry, effect: fx.Effect, after_ms: float
    ) -> None:
        if not isinstance(effect, fx.CheckpointTask):
            return
        task_id = effect.task_id
        self.schedule.after(
            after_ms,
            lambda: entry.post(lambda at: ev.TaskCheckpointed(at, task_id, False)),
        )

    def _drop_connections(self, entry: FakeEntry, effect: fx.DropConnections) -> None:
        key = (entry.identity.entry, effect.instance)
        self._generations[key] = self._generations.get(key, 0) + 1

    def _read_list(self, entry: FakeEntry, effect: fx.ReadInstanceList) -> None:
        live = frozenset(
            {*self.workers, *(n for n, e in self.entries.items() if e.alive)}
            - self.gone
        )
        leaving = frozenset(self.leaving)
        if entry.identity.entry not in self.store_cut:
            self.schedule.after(
                2 * self.link_ms,
                lambda: entry.post(lambda at: ev.InstanceListRead(at, live, leaving)),
            )

    def _reboot(self, entry: FakeEntry, effect: fx.RebootInstance) -> None:
        if entry.identity.entry in self.store_cut:
            return
        if self.reboots.get(effect.instance) != effect.step_id:
            self.reboots[effect.instance] = effect.step_id
            worker = self.workers[effect.instance]
            self.schedule.after(self.link_ms, worker.kill)
            self.schedule.after(_BOOT_MS, worker.reboot)
