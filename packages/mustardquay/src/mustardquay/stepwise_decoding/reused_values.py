"""Values that are kept by the text they were decoded from, for the next version."""

from collections.abc import Callable, Sequence
from typing import Generic, TypeVar

__all__ = ["ReusedValues"]

Value = TypeVar("Value")


class ReusedValues(Generic[Value]):
    """Decoded values of one version; those of the version before are reused.

    A value depends on its text only, so that an equal text needs no second decoding.
    """

    def __init__(
        self,
        decode: Callable[[Sequence[str]], Sequence[Value]],
        previous: "ReusedValues[Value] | None" = None,
    ):
        """Take `decode`, which returns the values of texts in their order."""
        self._decode = decode
        self._previous = {} if previous is None else previous._by_text
        self._by_text: dict[str, Value] = {}

    def decode(self, texts: Sequence[str]) -> list[Value]:
        """Return the values of texts, of which only new ones are decoded.

        >>> values = ReusedValues(lambda texts: [[text] for text in texts])
        >>> values.decode(["a"])[0] is ReusedValues(list, values).decode(["a"])[0]
        True
        """
        previous = self._previous
        found = {text: previous[text] for text in texts if text in previous}
        missing = [text for text in texts if text not in found]
        if missing:
            found.update(zip(missing, self._decode(missing), strict=True))
        self._by_text.update(found)
        return [found[text] for text in texts]

    def forget_previous(self) -> None:
        """Release the version before."""
        self._previous = {}
