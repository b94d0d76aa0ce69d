"""Store keys shared with operators and workers."""

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
    """Return the key under which operators read the progress of a wave."""
    return f"status/wave/{number}"


def encode_wave_status(number: int, is_finished: bool) -> bytes:
    """Return the status document of a wave, as operators read it."""
    state = "succeeded" if is_finished else "running"
    return msgspec.json.encode({"wave": number, "state": state})
