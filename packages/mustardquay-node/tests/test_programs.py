"""Programs are told things before they are there."""

import os
import signal
import subprocess
import sys

LOADED = 7
"""Exit code of a program whose modules were loaded."""


def test_a_call_to_read_settings_does_not_end_a_program_that_starts(tmp_path):
    """A gateway is gone for good after new settings were written twice.

    It is started, and told to read its settings again while it still loads its
    modules; SIGHUP ends a process that has not said what to do with it.
    """
    number = int(signal.SIGHUP)
    lines = f"import os\nos.kill(os.getpid(), {number})\nos._exit({LOADED})\n"
    # Loaded early among the modules of the program.
    (tmp_path / "asyncio.py").write_text(lines)
    path = f"{tmp_path}{os.pathsep}{os.environ.get('PYTHONPATH', '')}"
    command = [sys.executable, "-m", "mustardquay_node.programs", "missing.ini"]
    ended = subprocess.run(command, env=os.environ | {"PYTHONPATH": path}, timeout=60)
    assert ended.returncode == LOADED
