"""A stand-in of the HTTP client that answers from a list."""

import json

import pytest
import trio

from apricotgap.platform.http import HttpResponse


class Http:
    """Answers calls from a list, the last one again and again."""

    def __init__(self, *documents):
        self.documents = list(documents)
        self.targets = []

    async def call(self, method, address, target, *_args, **_options):
        self.targets.append(target)
        if len(self.targets) > 50:
            pytest.fail("the client calls without end")
        n = min(len(self.targets), len(self.documents))
        if self.documents[n - 1] is None:
            await trio.sleep_forever()
        return HttpResponse(200, json.dumps(self.documents[n - 1]).encode())
