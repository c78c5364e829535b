"""Collects the text of an answer over all attempts of a request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from coltsfootarch import errors

if TYPE_CHECKING:
    from coltsfootarch.gateway import completions
    from coltsfootarch.upstreams import engine


class AnswerText:
    """Appends each token of an answer exactly once.

    Args:
        request_id: Request id.
        request: The completion request.

    Attributes:
        offset: Number of tokens accepted so far.
    """

    def __init__(
        self, request_id: str, request: completions.CompletionRequest
    ) -> None:
        self.request_id = request_id
        self.request = request
        self.parts: list[str] = []
        self.offset = 0

    def prompt(self) -> str:
        """Returns the prompt followed by the text accepted so far.

        Another engine continues the answer from this prompt.
        """
        return self.request.prompt + "".join(self.parts)

    def tokens_left(self) -> int:
        """Returns the number of tokens that may still be generated."""
        return self.request.max_tokens - self.offset

    def is_new(self, event: engine.TokenEvent, attempt: int) -> bool:
        """Returns whether an event continues where the text ends.

        An event whose tokens were all accepted before is not new, unless it
        ends the answer.

        Raises:
            UpstreamError: The event belongs to another attempt, tokens are
                missing before it, or it overlaps the accepted text.
        """
        if (event.request_id, event.attempt) != (self.request_id, attempt):
            raise errors.UpstreamError("the stream belongs to another attempt")
        if event.offset > self.offset:
            raise errors.UpstreamError("tokens are missing in the stream")
        if event.offset + event.tokens <= self.offset and not event.finished:
            return False
        if event.offset < self.offset:
            raise errors.UpstreamError(
                "an event overlaps tokens that were already accepted"
            )
        return True

    def append(self, event: engine.TokenEvent) -> None:
        """Adds the tokens of a new event."""
        self.parts.append(event.text)
        self.offset += event.tokens
