"""TLS for callers, with a test certificate."""

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


def run_entry(own_settings: Path) -> subprocess.CompletedProcess:
    site = EXAMPLES / "syndesmos"
    files = [site / "common.ini", site / "processes" / "entry-1.ini", own_settings]
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
    context = ssl.create_default_context(cafile=str(CERTIFICATE))
    client = AsyncHTTPClient(force_instance=True)
    response = await client.fetch(url, headers=headers, ssl_options=context)
    assert response.code == 200
    assert response.headers["Mustardquay-Outcome"]
    with pytest.raises(ssl.SSLCertVerificationError):
        await client.fetch(url, headers=headers)
    with pytest.raises((HTTPError, OSError)):
        await client.fetch(url.replace("https", "http"), headers=headers)
    response = await client.fetch(url, headers=headers, ssl_options=context)
    assert response.code == 200
    client.close()


@pytest.mark.parametrize("private_key", [CERTIFICATE, FOLDER / "none.pem"])
def test_an_unusable_certificate_is_reported_at_the_start(tmp_path, private_key):
    # The private key doesn't belong to the certificate, or the file doesn't exist. The
    # process must report it and exit, not start and fail every request.
    own_settings = tmp_path / "own.ini"
    own_settings.write_text(
        f"[entry]\nport = 0\ncertificate = {CERTIFICATE}\nprivate_key = {private_key}\n"
        "[node]\nadmin_port = 0\n"
    )
    result = run_entry(own_settings)
    assert result.returncode == 2
    assert "[entry] certificate" in result.stderr
    assert "give PEM files that belong together" in result.stderr
    assert "Traceback" not in result.stderr


def test_a_port_in_use_is_reported_without_a_traceback(tmp_path):
    # Two processes have the same port in their settings: the second must report the
    # port and exit.
    with socket.create_server(("127.0.0.1", 0)) as holder:
        own_settings = tmp_path / "own.ini"
        port = holder.getsockname()[1]
        own_settings.write_text(f"[entry]\nport = {port}\n[node]\nadmin_port = 0\n")
        result = run_entry(own_settings)
    assert result.returncode == 2
    assert "choose a free port" in result.stderr
    assert "Traceback" not in result.stderr
