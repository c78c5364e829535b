"""Keeps each stream at the software version that began it."""

from __future__ import annotations

from typing import TYPE_CHECKING

import structlog

from coltsfootarch import errors
from coltsfootarch import results
from coltsfootarch.fleet import stream_records

if TYPE_CHECKING:
    from coltsfootarch.fleet import service_versions
    from coltsfootarch.fleet import upstreams
    from coltsfootarch.forwarding import calls
    from coltsfootarch.forwarding import prompt_holders

# Longest time for which the first event of a stream waits for its record, in
# seconds. The write begins when the engine is chosen, before the prompt is
# read, and normally ends first.
MAX_RECORD_WAIT_S = 0.5
# `Retry-After` of a take-up whose version can't be found out now, in seconds.
UNKNOWN_RETRY_AFTER_S = 0.5
# Longest wait of a stream at a host that has just started and doesn't know the
# versions yet, in seconds.
MAX_START_WAIT_S = 0.3

# Longest wait of a take-up for the engines of its version at a host whose list
# of registered engines isn't recent, in seconds. Reads of the list that failed
# are tried again after 0.8 s at most.
MAX_REGISTRATION_WAIT_S = 1.0

logger = structlog.get_logger(__name__)


class StreamVersions:
    """Finds the version of streams that are taken up; records new ones.

    Args:
        versions: Versions of the services.
        records: Records of streams.
        holders: Finds the engines that hold a prompt.
    """

    def __init__(
        self,
        versions: service_versions.ServiceVersions,
        records: stream_records.StreamRecords,
        holders: prompt_holders.PromptHolders,
    ) -> None:
        self.holders = holders
        self.versions = versions
        self.records = records

    def may_begin(self, engine: upstreams.Upstream) -> bool:
        """Returns whether a stream may begin at an engine now.

        While the store fails, streams can't be recorded; they begin at the base
        version as long as it has an engine.
        """
        if not self.versions.is_open(engine):
            return False
        if not self.records.is_failing or not self.versions.needs_record(
            engine.service, engine.version
        ):
            return True
        return engine.version == self.versions.base(
            engine.service
        ) or not self.has_base_engine(engine.service)

    def wait_known(self, service: str) -> None:
        """Waits a moment at a host that has just started.

        It begins no stream before it knows the versions of the service.
        """
        self.versions.wait_known(service, MAX_START_WAIT_S)

    def has_base_engine(self, service: str) -> bool:
        """Returns whether an engine of the base version takes requests."""
        base = self.versions.base(service)
        return base is not None and self.versions.has_member(service, base)

    def resolve(
        self, request: calls.CallerRequest, account: str, service: str
    ) -> str:
        """Returns the version that began the stream that a request takes up.

        Args:
            request: The request.
            account: Name of its client account; empty on public routes.
            service: Name of its service.

        Raises:
            errors.RefusedError: It isn't known now, or no engine has it.
        """
        versions = self.versions
        request_id = request.resumed_id
        key = stream_records.stream_key(account, service, request_id)
        found: str | None = None
        reason = "not named"
        if request_id and key in self.records.remembered:
            found = self.records.remembered[key].version
        elif versions.is_failing(service):
            # Take-ups don't each wait for a store that is silent.
            found = self.certain_base(service)
        if found is None:
            try:
                found = self.look_up(key if request_id else None, service)
                reason = "record lost or incomplete" if request_id else reason
            except errors.PlatformError as error:
                reason = error.message
                found = self.certain_base(service)
        if found is None:
            found = self.find_holder(service, request.own_part)
        if found is None:
            logger.info(
                "version of a stream not known",
                request_id=request.id,
                resumes=request_id or None,
                service=service,
                reason=reason,
            )
            raise unknown_version()
        if request_id:
            self.records.remember(key, service, found)
        if not versions.has_member(service, found):
            self.await_engine(request, service, found)
        return found

    def certain_base(self, service: str) -> str | None:
        """Returns the only version of a service; None if that isn't certain.

        It needs no call of the store.
        """
        versions = self.versions
        if versions.is_single(service) and versions.is_in_step(service):
            return versions.base(service)
        return None

    def await_engine(
        self, request: calls.CallerRequest, service: str, version: str
    ) -> None:
        """Waits for engines of a version that this host may not know yet.

        Raises:
            errors.RefusedError: There is none, or this host can't know.
        """
        if self.versions.has_recent_registrations():
            raise errors.RefusedError(results.STREAM_VERSION_GONE)
        if self.versions.wait_registered(
            service, version, MAX_REGISTRATION_WAIT_S
        ):
            return
        logger.info(
            "engines of a stream's version not known",
            request_id=request.id,
            service=service,
            version=version,
            age_s=round(self.versions.directory.age(), 1),
        )
        raise unknown_version()

    def look_up(self, key: str | None, service: str) -> str | None:
        """Returns the version of a stream by its record or the lack of one.

        The row is read first, since this host's copy may be older than the
        stream.

        Args:
            key: Key of the stream; None if it isn't named.
            service: Its service.

        Returns:
            None if that tells nothing.

        Raises:
            errors.PlatformError: The store did not answer usably.
        """
        versions = self.versions
        known = versions.refresh(service)
        if known is None:
            return None
        if key is None:
            return known.state.base if versions.is_single(service) else None
        record = self.records.find(key)
        if record.version is not None:
            return record.version or None
        if known.state.epoch < record.epoch:
            # A restoration, of which the row doesn't know yet, may have lost
            # the record.
            known = versions.refresh(service)
        if (
            known is None
            or known.state.epoch < record.epoch
            or versions.is_uncertain(service)
        ):
            return None
        return known.state.base

    def find_holder(self, service: str, part: str) -> str | None:
        """Returns the version of the engines that hold a part of a prompt.

        Returns:
            None if there are none, or several versions.
        """
        holding = self.holders.versions(service, part) if part else set()
        if len(holding) != 1:
            return None
        return holding.pop()

    def announce(self, call: calls.Call, engine: upstreams.Upstream) -> None:
        """Begins to note that a stream may begin at an engine's version."""
        if not self.is_recorded(call) or (
            self.versions.base(call.service) in (None, engine.version)
        ):
            return
        ticket = call.placeholder
        if ticket is None or ticket.has_failed:
            call.placeholder = self.records.reserve(self.key(call))

    def confirm(self, call: calls.Call, engine: upstreams.Upstream) -> bool:
        """Returns whether the first event of a stream may be sent.

        It waits for the placeholder as long as the stream could be taken for
        one of the base version without it. Then it begins to record the
        version. Until that is written, other hosts don't know the version.
        """
        if not self.is_recorded(call):
            return True
        self.announce(call, engine)
        ticket = call.placeholder
        if (
            ticket is not None
            and self.needs_placeholder(engine)
            and not self.await_placeholder(ticket)
        ):
            logger.warning(
                "stream not begun: its version could not be recorded",
                request_id=call.request.id,
                upstream=engine.id,
                version=engine.version,
            )
            return False
        key = self.key(call)
        if ticket is not None or self.versions.needs_record(
            call.service, engine.version
        ):
            self.records.write(key, engine.version)
        self.records.remember(key, call.service, engine.version)
        return True

    def needs_placeholder(self, engine: upstreams.Upstream) -> bool:
        """Returns whether a stream without one is taken for another version."""
        base = self.versions.base(engine.service)
        return engine.version != base and base in self.versions.registered(
            engine.service
        )

    def await_placeholder(self, ticket: stream_records.Ticket) -> bool:
        """Returns whether a placeholder is in the store, after a wait."""
        ticket.done.wait(MAX_RECORD_WAIT_S)
        return ticket.succeeded

    def is_recorded(self, call: calls.Call) -> bool:
        """Returns whether a call begins a stream that can be taken up."""
        return call.route.resumable and not call.request.takes_up

    def key(self, call: calls.Call) -> str:
        """Returns the key of the stream that a call begins."""
        return stream_records.stream_key(
            call.account, call.service, call.request.id
        )


def unknown_version() -> errors.RefusedError:
    """Returns the refusal of a take-up whose version isn't known now."""
    return errors.RefusedError(
        results.STREAM_VERSION_UNKNOWN, retry_after=UNKNOWN_RETRY_AFTER_S
    )
