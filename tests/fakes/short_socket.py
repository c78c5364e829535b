"""A socket whose calls fail for lack of memory."""

from __future__ import annotations

import errno
import os


class ShortSocket:
    """Wraps the system's socket inside one of gevent.

    Args:
        sock: The socket of gevent, which uses the wrapper from now on.
        failures: Number of calls that fail, by method.
        code: Error number.
        pass_first: Number of calls of each method that don't fail before.
    """

    def __init__(self, sock, failures, code=errno.ENOMEM, pass_first=0):
        self.inner = sock._sock
        self.failures = dict(failures)
        self.passed = dict.fromkeys(failures, pass_first)
        self.code = code
        sock._sock = self

    def call(self, name, *arguments):
        if self.passed.get(name):
            self.passed[name] -= 1
        elif self.failures.get(name):
            self.failures[name] -= 1
            raise OSError(self.code, os.strerror(self.code))
        return getattr(self.inner, name)(*arguments)

    def recv(self, *arguments):
        return self.call("recv", *arguments)

    def send(self, *arguments):
        return self.call("send", *arguments)

    def __getattr__(self, name):
        return getattr(self.inner, name)
