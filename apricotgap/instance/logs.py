"""Structured logging to standard output through a bounded, non-blocking buffer."""

import logging
import os
import sys
from collections import deque
from typing import Any

import msgspec
import structlog
import trio

__all__ = ["MAX_FIELD_CHARS", "LogBuffer", "configure", "encode_line"]

# Lines buffered while standard output is blocked; further ones are dropped and counted.
MAX_BUFFERED_LINES = 2_000
# Token bucket: average rate of lines, and the burst that unused tokens allow.
MAX_LINES_PER_S = 400
MAX_BURST_LINES = 800
# Of a value in a line that is longer. Tracebacks fit.
MAX_FIELD_CHARS = 16_000
_MAX_LIBRARY_CHARS = 200
_FLUSH_INTERVAL_S = 0.2
# Some readers of a pipe truncate a single write at 8 KiB.
_WRITE_BYTES = 4_096


class LogBuffer:
    """Buffer between the loggers and standard output."""

    def __init__(self) -> None:
        self._lines: deque[str] = deque(maxlen=MAX_BUFFERED_LINES)
        self._tokens = float(MAX_BURST_LINES)
        self.n_dropped = 0
        self._unwritten = b""

    def msg(self, message: str) -> None:
        """Buffer one line; drop and count it when over the rate or the buffer size."""
        if self._tokens < 1 or len(self._lines) == MAX_BUFFERED_LINES:
            self.n_dropped += 1
            return
        self._tokens -= 1
        self._lines.append(message)

    log = debug = info = warning = error = critical = msg

    def flush(self) -> None:
        """Write as much as standard output accepts without blocking."""
        data = self._unwritten
        if self._lines:
            data += ("\n".join(self._lines) + "\n").encode()
            self._lines.clear()
        if not data:
            return
        n_written = 0
        try:
            while n_written < len(data):
                part = data[n_written : n_written + _WRITE_BYTES]
                n_written += os.write(sys.stdout.fileno(), part)
        except BlockingIOError:
            pass
        except OSError:
            # The reader has ended, or the disk is full.
            self._drop(data[n_written:])
            return
        self._unwritten = data[n_written:]
        if len(self._unwritten) > 1_000_000:
            self._drop(self._unwritten)

    def _drop(self, data: bytes) -> None:
        self.n_dropped += data.count(b"\n")
        self._unwritten = b""

    async def run(self) -> None:
        """Flush periodically until cancelled."""
        n_reported = 0
        while True:
            await trio.sleep(_FLUSH_INTERVAL_S)
            self._tokens = min(
                MAX_BURST_LINES, self._tokens + MAX_LINES_PER_S * _FLUSH_INTERVAL_S
            )
            if self.n_dropped > n_reported and self._tokens >= 1:
                structlog.get_logger().warning("log_lines_dropped", n=self.n_dropped)
                n_reported = self.n_dropped
            self.flush()


def encode_line(fields: dict[str, Any], **_options: Any) -> str:
    """Return a log line as JSON; values that are too long or odd are cut texts."""
    try:
        line = msgspec.json.encode(fields, enc_hook=repr)
    except (ValueError, TypeError, RecursionError):
        line = b""
    if line and len(line) <= MAX_FIELD_CHARS:
        return line.decode()
    return msgspec.json.encode(
        {name: _bounded(value) for name, value in fields.items()}
    ).decode()


def _bounded(value: Any) -> Any:
    if value is None or isinstance(value, bool | int | float):
        return value
    text = value if isinstance(value, str) else ascii(value)
    return text[:MAX_FIELD_CHARS].encode(errors="replace").decode()


class LibraryHandler(logging.Handler):
    """Writes warnings of libraries as log lines of the process.

    By default they go to standard error with their tracebacks, without a bound, and
    block the process when nobody reads it. A connection of an odd client is enough.
    """

    def emit(self, record: logging.LogRecord) -> None:
        """Write one line."""
        error = record.exc_info[1] if record.exc_info else None
        structlog.get_logger().warning(
            "library_warning",
            library=record.name,
            text=record.getMessage()[:_MAX_LIBRARY_CHARS],
            error=repr(error)[:_MAX_LIBRARY_CHARS] if error else "",
        )


def configure(instance: str) -> LogBuffer:
    """Make structlog write JSON lines to a buffer and return the buffer."""
    buffer = LogBuffer()
    os.set_blocking(sys.stdout.fileno(), False)

    def factory(*_args: Any) -> LogBuffer:
        return buffer

    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.format_exc_info,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.JSONRenderer(serializer=encode_line),
        ],
        logger_factory=factory,
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.bind_contextvars(instance=instance)
    logging.basicConfig(level=logging.WARNING, handlers=[LibraryHandler()], force=True)
    return buffer
