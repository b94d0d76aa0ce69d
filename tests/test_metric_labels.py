"""Labels of metrics made of what callers say."""

import trio

from apricotgap.platform.ingress import OTHER_METHOD
from tests.test_ingress_reload import Rig


def test_methods_of_callers_are_no_labels():
    """Guards against a series of metrics for each word that a caller sends."""

    async def main():
        rig = Rig()
        for n in range(3):
            await rig.call(f"ODD{n}")
        return rig.metrics.render()

    text = trio.run(main)
    assert "ODD" not in text
    assert f'method="{OTHER_METHOD}"' in text
