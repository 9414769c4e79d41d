"""Programs: the binary `mustardquayd`, one process of the kind its settings name."""

import gc
import os
import sys
from pathlib import Path

__all__ = ["main"]


def main() -> None:
    """Run the program."""
    # While modules are loaded nothing is given up, and the collector would go over
    # all of them again and again; a process turns it on once it has started.
    gc.disable()
    # Pydantic would look through all installed packages for plugins; none is used.
    os.environ.setdefault("PYDANTIC_DISABLE_PLUGINS", "__all__")
    words = sys.argv[1:]
    if words and not any(word.startswith("-") for word in words):
        from .processes import run

        run([Path(word) for word in words])
        return
    # Loaded for help, options and mistakes only: a start that names just its files
    # needs none of it.
    from .command_lines import application

    application()


if __name__ == "__main__":
    sys.exit(main())
