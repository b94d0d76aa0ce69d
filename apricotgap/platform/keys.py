"""Keys of the store that operators and workers write, or operators read."""

import msgspec

__all__ = [
    "CONFIGURATION_KEY",
    "EVACUATIONS_PREFIX",
    "OPERATOR_PREFIX",
    "WAVES_PREFIX",
    "WORKERS_PREFIX",
    "encode_wave_status",
    "wave_status_key",
]

OPERATOR_PREFIX = "op/"
CONFIGURATION_KEY = "op/config"
EVACUATIONS_PREFIX = "op/evacuate/"
WAVES_PREFIX = "op/wave/"
WORKERS_PREFIX = "servers/"


def wave_status_key(number: int) -> str:
    """Key under which operators read how far a wave is."""
    return f"status/wave/{number}"


def encode_wave_status(number: int, is_finished: bool) -> bytes:
    """Return the status of a wave in the operators' form."""
    state = "succeeded" if is_finished else "running"
    return msgspec.json.encode({"wave": number, "state": state})
