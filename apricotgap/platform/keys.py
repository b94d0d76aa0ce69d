"""Store keys shared with operators and workers."""

import msgspec

from apricotgap.decoding import decode_json

__all__ = [
    "CONFIGURATION_KEY",
    "EVACUATIONS_PREFIX",
    "OPERATOR_PREFIX",
    "WAVES_PREFIX",
    "WAVE_STATUS_PREFIX",
    "WORKERS_PREFIX",
    "decode_wave_status",
    "encode_wave_status",
    "wave_status_key",
]

OPERATOR_PREFIX = "op/"
CONFIGURATION_KEY = "op/config"
EVACUATIONS_PREFIX = "op/evacuate/"
WAVES_PREFIX = "op/wave/"
WAVE_STATUS_PREFIX = "status/wave/"
WORKERS_PREFIX = "servers/"

_SUCCEEDED = "succeeded"


def wave_status_key(number: int) -> str:
    """Return the key under which operators read the progress of a wave."""
    return f"{WAVE_STATUS_PREFIX}{number}"


def encode_wave_status(number: int, is_finished: bool) -> bytes:
    """Return the status document of a wave, as operators read it."""
    state = _SUCCEEDED if is_finished else "running"
    return msgspec.json.encode({"wave": number, "state": state})


class _WaveStatus(msgspec.Struct):
    state: str


def decode_wave_status(data: bytes) -> bool:
    """Return whether a status document says that its wave has succeeded.

    Raises
    ------
    DecodeError
        The data is malformed.
    """
    return decode_json(data, _WaveStatus).state == _SUCCEEDED
