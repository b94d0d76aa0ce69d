"""The operator command line, run as an operator would."""

import json
import os
import subprocess
import sys
from typing import Any

import trio

__all__ = ["Operator"]


class Operator:
    """Runs ``apricotgap`` commands.

    Parameters
    ----------
    entries : list of str
        ``host:port`` of entry instances.
    credential : str
        Operator credential.
    """

    def __init__(self, entries: list[str], credential: str) -> None:
        self._entries = entries
        self._credential = credential

    async def run(self, *arguments: str) -> tuple[int, Any]:
        """Run a command and return its exit code and JSON output."""
        options = [word for entry in self._entries for word in ("--entry", entry)]
        done = await trio.run_process(
            [sys.executable, "-m", "apricotgap", *options, "--json", *arguments],
            capture_stdout=True,
            stderr=subprocess.STDOUT,
            check=False,
            env={**os.environ, "APRICOTGAP_CREDENTIAL": self._credential},
        )
        text = done.stdout.decode()
        try:
            return done.returncode, json.loads(text)
        except ValueError:
            return done.returncode, text

    async def must(self, *arguments: str) -> Any:
        """Run a command that has to succeed."""
        code, data = await self.run(*arguments)
        if code != 0:
            raise RuntimeError(f"{' '.join(arguments)}: exit {code}: {data}")
        return data
