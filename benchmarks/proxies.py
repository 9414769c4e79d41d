"""The baseline of `paths`: a bare one-hop proxy with tornado's server and client."""

import asyncio

import typer
from tornado.httpclient import AsyncHTTPClient, HTTPRequest
from tornado.web import Application, RequestHandler

from mustardquay_standins.platforms import wait_for_signal

HOP_HEADERS = frozenset({"connection", "content-length", "transfer-encoding"})
MAX_CLIENTS = 10_000


class ProxyHandler(RequestHandler):
    """Forwards a request to the upstream and streams the answer back."""

    def initialize(self, upstream: str, client: AsyncHTTPClient) -> None:
        """Set the base URL of the upstream and the client."""
        self._upstream = upstream
        self._client = client

    async def post(self) -> None:
        """Forward one request."""
        request = HTTPRequest(
            self._upstream + self.request.path,
            method="POST",
            headers=self.request.headers,
            body=self.request.body,
            header_callback=self._pass_header,
            streaming_callback=self._pass_data,
            request_timeout=60,
        )
        response = await self._client.fetch(request, raise_error=False)
        self.set_status(response.code)

    def _pass_header(self, line: str) -> None:
        name, _, value = line.strip().partition(":")
        if value and name.lower() not in HOP_HEADERS:
            self.set_header(name, value.strip())

    def _pass_data(self, data: bytes) -> None:
        self.write(data)
        self.flush()


async def _run(upstream: str, address: str) -> None:
    client = AsyncHTTPClient(force_instance=True, max_clients=MAX_CLIENTS)
    options = {"upstream": upstream, "client": client}
    application = Application([(r"/.*", ProxyHandler, options)])
    application.settings["log_function"] = lambda handler: None
    server = application.listen(0, address)
    port = next(iter(server._sockets.values())).getsockname()[1]
    typer.echo(f"proxy ready url=http://{address}:{port}")
    await wait_for_signal()


def main(upstream: str, address: str = "127.0.0.1") -> None:
    """Run the proxy until SIGTERM or SIGINT."""
    asyncio.run(_run(upstream, address))


if __name__ == "__main__":
    typer.run(main)
