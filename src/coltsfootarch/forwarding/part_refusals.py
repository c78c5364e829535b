"""Refusals of requests with a part of the prompt that crashes engines."""

from __future__ import annotations

from typing import TYPE_CHECKING

import structlog

from coltsfootarch import errors
from coltsfootarch import results

if TYPE_CHECKING:
    from coltsfootarch.forwarding import calls
    from coltsfootarch.scheduling import crashing_parts

logger = structlog.get_logger(__name__)


def refusal(
    parts: crashing_parts.CrashingParts, call: calls.Call
) -> errors.RefusedError:
    """Returns the refusal of a request, and logs the part that causes it.

    Args:
        parts: Parts of prompts on which engines crash.
        call: The request.
    """
    shared_parts = call.request.shared_parts
    part = parts.find_refused(call.service, shared_parts)
    retry_after = parts.retry_after(call.service, shared_parts)
    logger.info(
        "prompt part refused",
        request_id=call.request.id,
        service=call.service,
        part=part,
        crashed_engines=len(parts.engines(call.service, part)),
        retry_after_s=round(retry_after, 3),
    )
    return errors.RefusedError(results.CRASHING_PART, retry_after=retry_after)
