"""A draft of a plan: steps, waves and the budgets that they use."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import replace

from apricotgap.core.budgets import BudgetUsage, Grants, out_of_service
from apricotgap.errors import ApricotgapError, ConflictError
from apricotgap.model import Budget, Configuration, Instance, Step, StepKind

__all__ = ["PlanDraft", "budget_error"]


def budget_error(budget: Budget, instances: Iterable[str]) -> ApricotgapError:
    """Return the error for an intent that a budget does not permit.

    Parameters
    ----------
    budget : Budget
        The violated budget.
    instances : iterable of str
        Instances that cannot be taken out.

    Returns
    -------
    ApricotgapError
        Error that names the budget and the remedy.
    """
    names = sorted(instances)
    shown = ", ".join(names[:3]) + (" and others" if len(names) > 3 else "")
    remedy = f"wait until instances are back in service, or change budget {budget.name}"
    if budget.min_available is not None:
        remedy = f"add capacity to the pool with intent plan move-capacity, or {remedy}"
    return ConflictError(
        f"budget {budget.name!r} ({budget.kind} {budget.target}) does not permit "
        f"taking out {shown}",
        remedy,
    )


class PlanDraft:
    """Collects the steps of a plan and tracks the budgets that they use.

    Parameters
    ----------
    config : Configuration
        Configuration to plan from.
    unavailable : iterable of str
        Instances that are unavailable without a plan.
    grants : Grants
        Grants of other plans.
    """

    def __init__(
        self, config: Configuration, unavailable: Iterable[str], grants: Grants
    ) -> None:
        self.config = config
        self.usage = BudgetUsage(
            config, out_of_service(config) | set(unavailable) | set(grants.instances)
        )
        self.steps: list[Step] = []
        self._wave = 0
        self._after_wave = -1
        self._out_for_wave: set[str] = set()

    def add(
        self,
        kind: StepKind,
        target: str,
        disturbs: str,
        to_pool: str | None = None,
        lent_for: str = "",
    ) -> None:
        """Add a step to the current wave."""
        uses: tuple[str, ...] = ()
        if target in self.config.instances and kind is not StepKind.RESTORE:
            uses = tuple(
                dict.fromkeys(b.name for b in self.usage.budgets_covering(target))
            )
        step = Step(
            index=len(self.steps),
            kind=kind,
            target=target,
            to_pool=to_pool,
            wave=self._wave,
            uses=uses,
            disturbs=disturbs,
            after_wave=self._after_wave,
            lent_for=lent_for,
        )
        self.steps.append(step)

    def barrier(self) -> None:
        """Make all later steps wait for the steps added so far."""
        if self.steps:
            self._after_wave = self.steps[-1].wave
            self._wave = self._after_wave + 1

    def drain_together(self, instances: list[Instance]) -> None:
        """Drain instances together; they stay drained."""
        names = [i.name for i in instances]
        self._require_budgets(names)
        self.usage.mark_out(names)
        for name in names:
            self.add(StepKind.DRAIN, name, "gets no new tasks; running tasks finish")

    def reboot_in_waves(self, instances: list[Instance]) -> None:
        """Drain, reboot and restore instances, in waves that keep the budgets."""
        for wave in self._waves(instances):
            for instance in wave:
                self.add(
                    StepKind.DRAIN,
                    instance.name,
                    "gets no new tasks; running tasks finish",
                )
                self.add(StepKind.REBOOT, instance.name, "out until it has booted")
                self.add(StepKind.RESTORE, instance.name, "")
            self._wave += 1

    def move_in_waves(self, donors: list[Instance], to_pool: str, count: int) -> None:
        """Move `count` of the instances to another pool permanently."""
        n_moved = 0
        while n_moved < count:
            wave: list[Instance] = []
            for donor in donors:
                if n_moved == count:
                    break
                if not self.usage.violated((donor.name,)):
                    self._move_step(donor, to_pool, lent_for="")
                    wave.append(donor)
                    n_moved += 1
            if not wave:
                left = [d.name for d in donors]
                raise budget_error(self.usage.violated(left[:1])[0], left)
            self._join(wave, to_pool)
            donors = [d for d in donors if d not in wave]
            self._wave += 1

    def backfill_pools(self, instances: list[Instance], lent_for: str) -> None:
        """Move spare instances into pools that would fall below their budget.

        Parameters
        ----------
        instances : list of Instance
            Instances that will go out together.
        lent_for : str
            Data centre to be taken out; bringing it back reverses the moves. Empty
            for permanent moves.

        Raises
        ------
        ConflictError
            If there are not enough spare instances to move.
        """
        names = [i.name for i in instances]
        leaving = Counter(i.pool for i in instances if not self.usage.is_out(i.name))
        slack = {p: self.usage.slack(p)[0] - leaving[p] for p in self.config.pools}
        short = [p for p in sorted(leaving) for _ in range(-slack.get(p, 0))]
        donors = self._spare_donors(set(names))
        while short:
            wave = self._add_lending_wave(donors, slack, short, lent_for)
            if not wave:
                budget = self.usage.slack(short[0])[1]
                assert budget is not None
                raise budget_error(budget, names)
            for donor, pool in wave:
                self._join([donor], pool)
            self._wave += 1
        self._require_budgets(names)
        self.barrier()

    def close(self, data_centre: str, instances: list[Instance]) -> None:
        """Close a data centre, then drain its instances."""
        names = [i.name for i in instances]
        self._require_budgets(names)
        self.add(
            StepKind.CLOSE_DATA_CENTRE,
            data_centre,
            f"no task starts in {data_centre}; its {len(names)} instances go out",
        )
        self.usage.mark_out(names)
        for name in names:
            self.add(
                StepKind.DRAIN,
                name,
                "gets no new tasks; running tasks finish",
                lent_for=data_centre,
            )

    def reopen(self, data_centre: str, instances: list[Instance]) -> None:
        """Open a data centre and restore its instances."""
        self.add(StepKind.OPEN_DATA_CENTRE, data_centre, "tasks start there again")
        for instance in instances:
            self.add(StepKind.RESTORE, instance.name, "")
        in_data_centre = [
            i.name
            for i in self.config.instances.values()
            if i.data_centre == data_centre
        ]
        self.usage.mark_serving(in_data_centre)
        self.barrier()

    def return_lent(self, instances: list[Instance]) -> None:
        """Move lent instances back to their home pools."""
        left = list(instances)
        while left:
            wave = []
            for instance in left:
                if not self.usage.violated((instance.name,)):
                    self._move_step(instance, instance.home_pool, lent_for="")
                    wave.append(instance)
            if not wave:
                blocked = self.usage.violated((left[0].name,))[0]
                raise budget_error(blocked, [i.name for i in left])
            for instance in wave:
                self._join([instance], instance.home_pool)
            left = [i for i in left if i not in wave]
            self._wave += 1

    def _waves(self, instances: list[Instance]) -> Iterable[list[Instance]]:
        left = list(instances)
        while left:
            wave: list[Instance] = []
            later: list[Instance] = []
            for instance in left:
                if self.usage.violated((instance.name,)):
                    later.append(instance)
                else:
                    self._mark_out(instance)
                    wave.append(instance)
            if not wave:
                blocked = self.usage.violated((left[0].name,))[0]
                raise budget_error(blocked, [i.name for i in left])
            yield wave
            self._mark_serving(wave)
            left = later

    def _require_budgets(self, names: list[str]) -> None:
        violated = self.usage.violated(names)
        if violated:
            raise budget_error(violated[0], names)

    def _move_step(self, donor: Instance, to_pool: str, lent_for: str) -> None:
        self.add(
            StepKind.MOVE,
            donor.name,
            f"leaves {donor.pool} for {to_pool} when its tasks have finished",
            to_pool=to_pool,
            lent_for=lent_for,
        )
        self._mark_out(donor)

    def _mark_out(self, instance: Instance) -> None:
        """Count an instance as out for one wave; failed ones stay out afterwards."""
        if not self.usage.is_out(instance.name):
            self._out_for_wave.add(instance.name)
        self.usage.mark_out((instance.name,))

    def _mark_serving(self, wave: list[Instance]) -> None:
        names = {i.name for i in wave} & self._out_for_wave
        self._out_for_wave -= names
        self.usage.mark_serving(names)

    def _join(self, wave: list[Instance], pool: str) -> None:
        for instance in wave:
            self.usage.replace_instance(replace(instance, pool=pool))
        self._mark_serving(wave)

    def _spare_donors(self, gone: set[str]) -> list[Instance]:
        spare = {p.name for p in self.config.pools.values() if p.spare}
        donors = [
            i
            for i in self.config.instances.values()
            if i.pool in spare and i.name not in gone and not self.usage.is_out(i.name)
        ]
        return sorted(donors, key=lambda i: (i.data_centre, i.rack, i.name))

    def _add_lending_wave(
        self,
        donors: list[Instance],
        slack: dict[str, int],
        short: list[str],
        lent_for: str,
    ) -> list[tuple[Instance, str]]:
        """Add one wave of moves, and remove them from `donors` and `short`."""
        wave: list[tuple[Instance, str]] = []
        for donor in list(donors):
            if not short:
                break
            if slack[donor.pool] <= 0 or self.usage.violated((donor.name,)):
                continue
            pool = short.pop(0)
            slack[donor.pool] -= 1
            slack[pool] += 1
            donors.remove(donor)
            self._move_step(donor, pool, lent_for)
            wave.append((donor, pool))
        return wave
