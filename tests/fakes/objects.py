"""In-memory object store."""

from __future__ import annotations

from coltsfootarch import errors


class FakeObjects:
    """Object store; `down` makes every call fail."""

    def __init__(self):
        self.objects = {}
        self.down = False

    def put(self, key, data):
        if self.down:
            raise errors.ObjectStoreUnavailableError("the store is down")
        self.objects[key] = data

    def get(self, key):
        if self.down:
            raise errors.ObjectStoreUnavailableError("the store is down")
        return self.objects.get(key)
