"""Files: documents whose paths are given on the command line."""

from collections.abc import Callable
from pathlib import Path
from typing import TypeVar

from mustardquay.errors import DocumentError

__all__ = ["read_file"]

Document = TypeVar("Document")


def read_file(file: Path, read: Callable[[str, str], Document]) -> Document:
    """Return the document that `read` parses from the text and name of a file.

    Raises `DocumentError` when the file can't be read or is not valid.
    """
    try:
        text = file.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise DocumentError(
            f"{file}: can't be read ({error}); check the path."
        ) from None
    return read(text, str(file))
