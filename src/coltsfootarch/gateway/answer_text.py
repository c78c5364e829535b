"""The text of an answer as it grows, over all attempts of a request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from coltsfootarch import errors

if TYPE_CHECKING:
    from coltsfootarch.gateway import completions
    from coltsfootarch.upstreams import engine


class AnswerText:
    """Accepts each token of an answer once.

    Args:
        request_id: Request id.
        request: The request that is answered.

    Attributes:
        offset: Tokens accepted so far.
    """

    def __init__(
        self, request_id: str, request: completions.CompletionRequest
    ) -> None:
        self.request_id = request_id
        self.request = request
        self.parts: list[str] = []
        self.offset = 0

    def prompt(self) -> str:
        """Returns the prompt with the text accepted so far."""
        return self.request.prompt + "".join(self.parts)

    def tokens_left(self) -> int:
        """Returns the tokens that may still be generated."""
        return self.request.max_tokens - self.offset

    def is_new(self, event: engine.TokenEvent, attempt: int) -> bool:
        """Returns whether an event goes on where the text ends.

        An event that was accepted before is not new, unless it ends the
        answer.

        Raises:
            UpstreamError: The event is of another attempt, or tokens are
                missing before it, or it overlaps the text.
        """
        if (event.request_id, event.attempt) != (self.request_id, attempt):
            raise errors.UpstreamError("the stream is of another attempt")
        if event.offset > self.offset:
            raise errors.UpstreamError("tokens are missing in the stream")
        if event.offset + event.tokens <= self.offset and not event.finished:
            return False
        if event.offset < self.offset:
            raise errors.UpstreamError("an event overlaps the emitted tokens")
        return True

    def append(self, event: engine.TokenEvent) -> None:
        """Adds the tokens of a new event."""
        self.parts.append(event.text)
        self.offset += event.tokens
