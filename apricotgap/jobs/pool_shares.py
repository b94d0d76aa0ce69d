"""Division of the machines among pools that together want more than there are."""

from collections.abc import Mapping

__all__ = ["divide"]


def divide(wanted: Mapping[str, int], n_machines: int) -> dict[str, int]:
    """Return the number of machines of each pool by max-min fairness.

    A pool that wants little gets all of it, and those that want more get equal
    numbers. A burst of one pool therefore leaves the others what they need.

    Parameters
    ----------
    wanted : mapping of str to int
        Number of machines that each pool wants.
    n_machines : int
        Machines in all pools and ready to be moved to them.
    """
    shares: dict[str, int] = {}
    n_left = n_machines
    in_order = sorted(wanted.items(), key=lambda item: (item[1], item[0]))
    for index, (pool, n_wanted) in enumerate(in_order):
        n_pools = len(in_order) - index
        shares[pool] = min(n_wanted, -(-n_left // n_pools))
        n_left -= shares[pool]
    return shares
