"""A wave names a machine that joined while the list of machines could not be read."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parents[1] / "harness2"))
from stage import TROUBLE, main  # noqa: E402

# The bench's own length of this trouble is 5 s.
BUSY_S = 4.9
WAVE_S = 30


async def play(stage):
    await stage.start(n_instances=3, n_workers=4)
    await asyncio.sleep(6)
    stage.is_cloud_busy = TROUBLE
    stage.record("calls for machines get 503" if TROUBLE else "no disruption")
    await asyncio.sleep(0.1)
    await stage.add_worker("new", "pokhara")
    await asyncio.sleep(0.2)
    names = [each.machine for each in stage.workers]
    wave = {"wave": 1, "machines": names, "durationS": WAVE_S, "maxCount": 2}
    stage.store.put("op/wave/1", wave)
    stage.record("the operator orders", wave)
    await asyncio.sleep(BUSY_S - 0.3)
    stage.is_cloud_busy = False
    stage.record("calls for machines are served again")

    def is_succeeded():
        return (stage.store.get("status/wave/1") or {}).get("state") == "succeeded"

    await stage.until(is_succeeded, WAVE_S + 10, "the end of the wave")
    begun = {machine for machine, _ in stage.upkeep}
    missing = [name for name in names if name not in begun]
    stage.record("status/wave/1 succeeded, upkeep begun of", sorted(begun))
    return [
        f"MIXED wave 1 is said to be succeeded, {name} stays and has not begun its upkeep"
        for name in missing
        if any(each.machine == name and each.state == "up" for each in stage.workers)
    ]


if __name__ == "__main__":
    sys.exit(main(Path(__file__).parent, play))
