"""Entry point of `mustardquayd`, a process whose kind its settings specify."""

import gc
import os
import sys
from pathlib import Path

from .early_reloads import record_early_reloads

__all__ = ["main"]


def main() -> None:
    """Run the program."""
    record_early_reloads()
    # Imports create almost no garbage, and the collector would repeatedly traverse all
    # loaded modules; the process enables it again once it has started.
    gc.disable()
    # Pydantic would scan all installed packages for plugins; none is used.
    os.environ.setdefault("PYDANTIC_DISABLE_PLUGINS", "__all__")
    words = sys.argv[1:]
    if words and not any(word.startswith("-") for word in words):
        from .processes import run

        run([Path(word) for word in words])
        return
    # Imported only for help, options and usage errors: a start with just settings files
    # does not need it.
    from .command_lines import application

    application()


if __name__ == "__main__":
    sys.exit(main())
