"""Hosts that share the rows of versions and of streams, in stepped time."""

from __future__ import annotations

import datetime
import types

from coltsfootarch import errors
from coltsfootarch.fleet import stream_records
from coltsfootarch.forwarding import stream_versions
from tests.fakes import record_rows
from tests.fleet import builders
from tests.fleet import test_service_versions as version_tests

ACCOUNT = "acme"


class VersionTable:
    """Rows of versions, whose answers tell a host the epoch of the store."""

    def __init__(self, table, host):
        self.table = table
        self.host = host

    @property
    def epoch(self):
        return self.table.epoch

    def read(self, service):
        self.host.check_connected()
        stored = self.table.read(service)
        self.host.epochs.observe(self.table.epoch, "test")
        return stored

    def replace(self, service, state, position):
        self.host.check_connected()
        return self.table.replace(service, state, position)


class RecordTable:
    """Records in the store, whose answers tell a host its epoch."""

    def __init__(self, versions, records, host):
        self.versions = versions
        self.records = records
        self.host = host

    def write(self, records, placeholders, removed):
        self.check()
        return self.records.write(records, placeholders, removed)

    def find(self, key):
        self.check()
        return stream_records.StoredRecord(
            self.records.get(key), self.versions.epoch
        )

    def keys(self):
        return list(self.records)

    def check(self):
        self.host.check_connected()
        if self.versions.is_failing:
            raise errors.TableUnavailableError()
        self.host.epochs.observe(self.versions.epoch, "test")


class Holders:
    """Knows the versions of the engines that hold a part of a prompt."""

    def __init__(self):
        self.held = {}

    def versions(self, service, part):
        return self.held.get(part, set())


def make_call(request_id):
    """Returns a call that begins a stream."""
    return types.SimpleNamespace(
        account=ACCOUNT,
        service="llm",
        placeholder=None,
        route=types.SimpleNamespace(resumable=True),
        request=types.SimpleNamespace(id=request_id, takes_up=False),
    )


class Host(version_tests.Host):
    """A host that begins streams and takes them up.

    Attributes:
        is_cut_off: Whether it doesn't reach the store.
    """

    def __init__(self, fleet, name):
        self.is_cut_off = False
        super().__init__(VersionTable(fleet.table, self), fleet.clock, name)
        self.records = stream_records.StreamRecords(
            RecordTable(fleet.table, fleet.records, self),
            fleet.clock,
            self.versions.lifetime_s,
            lambda: False,
        )
        self.versions.on_restored.append(self.records.write_again)
        self.versions.on_base_changed.append(self.records.write_version)
        self.streams = stream_versions.StreamVersions(
            self.versions, self.records, fleet.holders
        )

    def step(self, seconds=0.0):
        # Other calls of the host have told it of a restoration.
        table = self.versions.table.table
        if not (table.is_failing or self.is_cut_off):
            self.epochs.observe(table.epoch, "test")
            self.directory.record_read()
        super().step(seconds)
        self.flush()

    def check_connected(self):
        if self.is_cut_off:
            raise errors.TableUnavailableError()

    def flush(self):
        """Writes pending records, as its greenlet does within milliseconds."""
        try:
            self.records.flush()
        except errors.PlatformError:
            self.records.failing_until = self.clock.monotonic() + 1.0

    def begin(self, request_id, version):
        """Begins a stream; returns whether its first event may be sent."""
        engine = builders.decode("d-9", version=version)
        if not self.streams.may_begin(engine):
            return False
        call = make_call(request_id)
        self.streams.announce(call, engine)
        self.flush()
        may_begin = self.streams.confirm(call, engine)
        self.flush()
        return may_begin

    def take_up(self, request_id, part=""):
        """Returns the version at which a stream goes on, or the refusal."""
        request = types.SimpleNamespace(
            id="later", resumed_id=request_id, own_part=part
        )
        try:
            return self.streams.resolve(request, ACCOUNT, "llm")
        except errors.RefusedError as error:
            return error.code.name


class Fleet:
    """Two hosts; the first by name has the duties."""

    def __init__(self, clock):
        self.clock = clock
        self.table = version_tests.Table(clock)
        self.records = record_rows.RecordRows()
        self.holders = Holders()
        self.first = Host(self, "h1")
        self.second = Host(self, "h2")
        self.register(d_1="v1")
        self.step(1.0)

    def register(self, **versions):
        """Registers engines, which both hosts see at once."""
        for host in (self.first, self.second):
            host.register(**versions)

    def step(self, seconds=0.0, hosts=None):
        """Advances the clock; both hosts run, or only one, out of touch."""
        hosts = hosts or (self.first, self.second)
        for host in hosts:
            host.hears_other = len(hosts) > 1
        until = self.clock.monotonic() + seconds
        while True:
            for host in hosts:
                host.step()
            if self.clock.monotonic() >= until:
                return
            self.clock.advance(datetime.timedelta(seconds=0.25))

    def restore(self, records=None):
        """Restores the store; its rows of versions are as they were."""
        self.table.epoch += 1
        self.records.clear()
        self.records.update(records or {})
