"""TLS towards callers, with a certificate that was made for these tests."""

import socket
import ssl
import subprocess
import sys
from pathlib import Path

import pytest
from tornado.httpclient import AsyncHTTPClient, HTTPError

from mustardquay_standins.sites import EXAMPLES, Site

FOLDER = Path(__file__).parent / "certificates"
CERTIFICATE = FOLDER / "certificate.pem"
PRIVATE_KEY = FOLDER / "private_key.pem"


def run_entry(own: Path) -> subprocess.CompletedProcess:
    site = EXAMPLES / "syndesmos"
    files = [site / "common.ini", site / "processes" / "entry-1.ini", own]
    command = [sys.executable, "-m", "mustardquay_node.programs", *map(str, files)]
    return subprocess.run(command, capture_output=True, text=True, timeout=60)


@pytest.fixture
async def secure_site():
    entry = {"certificate": str(CERTIFICATE), "private_key": str(PRIVATE_KEY)}
    running = Site("syndesmos", seed=2, overrides={"entry": entry})
    await running.start()
    yield running
    await running.close()


async def test_callers_are_served_over_tls_alone(secure_site):
    url = f"{next(iter(secure_site.entries.values())).url}/v1/models"
    assert url.startswith("https://127.0.0.1:")
    headers = {"Authorization": f"Bearer {secure_site.customer.keys[0]}"}
    trusting = ssl.create_default_context(cafile=str(CERTIFICATE))
    client = AsyncHTTPClient(force_instance=True)
    response = await client.fetch(url, headers=headers, ssl_options=trusting)
    assert response.code == 200
    assert response.headers["Mustardquay-Outcome"]
    with pytest.raises(ssl.SSLCertVerificationError):
        await client.fetch(url, headers=headers)
    with pytest.raises((HTTPError, OSError)):
        await client.fetch(url.replace("https", "http"), headers=headers)
    response = await client.fetch(url, headers=headers, ssl_options=trusting)
    assert response.code == 200
    client.close()


@pytest.mark.parametrize("private_key", [CERTIFICATE, FOLDER / "none.pem"])
def test_a_certificate_that_cannot_be_used_is_named_at_the_start(tmp_path, private_key):
    # An operator gives a private key that is not that of the certificate, or is not
    # there. The process must say so and end, not start and fail every caller.
    own = tmp_path / "own.ini"
    own.write_text(
        f"[entry]\nport = 0\ncertificate = {CERTIFICATE}\nprivate_key = {private_key}\n"
        "[node]\nadmin_port = 0\n"
    )
    result = run_entry(own)
    assert result.returncode == 2
    assert "[entry] certificate" in result.stderr
    assert "give PEM files that belong together" in result.stderr
    assert "Traceback" not in result.stderr


def test_a_port_that_is_taken_is_told_without_a_traceback(tmp_path):
    # Two processes are given the same port: the second must name it and end.
    with socket.create_server(("127.0.0.1", 0)) as holder:
        own = tmp_path / "own.ini"
        port = holder.getsockname()[1]
        own.write_text(f"[entry]\nport = {port}\n[node]\nadmin_port = 0\n")
        result = run_entry(own)
    assert result.returncode == 2
    assert "choose a free port" in result.stderr
    assert "Traceback" not in result.stderr
