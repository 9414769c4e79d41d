"""Signals that a program receives while it starts."""

import os
import signal
import subprocess
import sys

SURVIVED = 7
"""Exit code of a program that survived the signal."""


def test_a_reload_request_does_not_terminate_a_starting_program(tmp_path):
    """Guards against a gateway that is terminated when settings change twice quickly.

    The gateway is started and then receives SIGHUP, to reload its settings, while it
    still imports its modules. Without a handler, SIGHUP terminates a process.
    """
    number = int(signal.SIGHUP)
    lines = f"import os\nos.kill(os.getpid(), {number})\nos._exit({SURVIVED})\n"
    # Replaces a module that the program imports early.
    (tmp_path / "asyncio.py").write_text(lines)
    path = f"{tmp_path}{os.pathsep}{os.environ.get('PYTHONPATH', '')}"
    command = [sys.executable, "-m", "mustardquay_node.programs", "missing.ini"]
    ended = subprocess.run(command, env=os.environ | {"PYTHONPATH": path}, timeout=60)
    assert ended.returncode == SURVIVED
