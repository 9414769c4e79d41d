"""The table of all settings, with their defaults, units and meanings."""

from .gateway_keys import GATEWAY_KEYS
from .setting_keys import Key

__all__ = ["DEFAULTS", "KEYS", "SECTIONS", "SERVICE_PREFIX", "Key"]

SERVICE_PREFIX = "service:"

SECTIONS = {
    "node": "What this process is and where it runs.",
    "platform": "Where the platform's services are.",
    "link": "The links between entries and agents; alike on all of them.",
    "entry": "Towards callers and operators; read where kind is entry.",
    "agent": "Towards the upstream beside it; read where kind is agent.",
    "store": "The platform's store; read where kind is gateway.",
    "gateway": "Towards callers and upstreams without agents; read where kind is "
    "gateway.",
    "bounds": "What the platform promises and asks; read where kind is gateway.",
    "usage": "Reports of how many requests of each organisation began; read where kind "
    "is gateway.",
    "service:NAME": "Which calls of the plain service NAME are idempotent; read by "
    "entries.",
}
"""Meaning of each section, in the order of the documentation page."""


KEYS = (
    Key(
        "node",
        "name",
        None,
        "",
        "Name of this process, unique in the fleet and the same after a restart.",
    ),
    Key("node", "kind", None, "", "entry, agent or gateway."),
    Key(
        "node",
        "availability_zone",
        None,
        "",
        "Availability zone that this process runs in.",
    ),
    Key("node", "region", "local", "", "Region of the availability zone."),
    Key(
        "node", "address", "127.0.0.1", "IP number", "Address that all ports listen on."
    ),
    Key("node", "admin_port", "0", "port", "Port for operators; 0 takes any."),
    Key(
        "node",
        "log_level",
        "info",
        "",
        "Least severe lines to log: debug, info, warning or error. The time line is "
        "always logged.",
    ),
    Key(
        "node",
        "ring_capacity",
        "10000",
        "events",
        "Newest events of the time line that are kept for the admin port.",
    ),
    Key("platform", "tables", None, "URL", "The table service."),
    Key("platform", "objects", None, "URL", "The object store."),
    Key("platform", "instances", None, "URL", "The list of instances."),
    Key(
        "platform",
        "timeout",
        "2",
        "s",
        "Wait for one answer of the platform; then the call's result is unclear.",
    ),
    Key(
        "link",
        "keys",
        None,
        "words",
        "Shared secrets of the links. The first is used, all are accepted: to rotate, "
        "add the new one last everywhere, then put it first, then drop the old one.",
    ),
    Key("link", "heartbeat", "1", "s", "Time between heartbeats on a link."),
    Key(
        "link",
        "silence",
        "4",
        "s",
        "A link on which nothing came for so long is closed and opened anew. Longer "
        "than two heartbeats.",
    ),
    Key("link", "frame_limit", "16777216", "bytes", "Largest frame that is accepted."),
    Key("entry", "port", "0", "port", "Port for callers; 0 takes any."),
    Key(
        "entry",
        "operator_keys",
        None,
        "words",
        "Bearer keys of operators for the admin port; several, so that they rotate.",
    ),
    Key(
        "entry",
        "body_limit",
        "4194304",
        "bytes",
        "Largest body of a request; larger ones get 413. At least 64 KiB under the "
        "frame limit.",
    ),
    Key(
        "entry",
        "output_limit",
        "131072",
        "tokens",
        "Largest limit of output tokens that a caller may ask for; larger ones get "
        "400. What the models can hold.",
    ),
    Key(
        "entry",
        "body_timeout",
        "30",
        "s",
        "A caller that has not sent a whole body by then is dropped.",
    ),
    Key(
        "entry",
        "idle_timeout",
        "60",
        "s",
        "A caller's connection on which no whole header of a request comes for so long "
        "is closed, whether it is idle or too slow.",
    ),
    Key(
        "entry",
        "progress_timeout",
        "20",
        "s",
        "A caller that takes nothing of its answer for so long is dropped.",
    ),
    Key(
        "entry",
        "lease_term",
        "10",
        "s",
        "An entry takes the lease of a zone over from one that it has not seen renew "
        "it for so long.",
    ),
    Key(
        "entry",
        "drain_timeout",
        "120",
        "s",
        "A process that stops waits at most so long for its running requests.",
    ),
    Key(
        "entry",
        "claim_lifetime",
        "86400",
        "s",
        "An idempotency key is remembered so long.",
    ),
    Key(
        "entry",
        "claim_window",
        "0.005",
        "s",
        "Claims that come within this time are written in one transaction.",
    ),
    Key(
        "entry",
        "retry_ratio",
        "0.1",
        "",
        "Retries are at most this part of all requests, 0 to 1.",
    ),
    Key(
        "entry",
        "attempts",
        "3",
        "attempts",
        "Most attempts of one idempotent request.",
    ),
    Key("entry", "agents", "64", "agents", "Most agents that an entry links to."),
    Key(
        "entry",
        "certificate",
        "",
        "path",
        "PEM file of the certificate chain for callers; empty is plain HTTP.",
    ),
    Key("entry", "private_key", "", "path", "PEM file of the certificate's key."),
    Key("agent", "port", "0", "port", "Port for links from entries; 0 takes any."),
    Key(
        "agent",
        "operator_keys",
        "",
        "words",
        "Bearer keys of operators for status and events on the admin port; when "
        "empty, only probes and metrics are served.",
    ),
    Key("agent", "kind", "engine", "", "engine, or service for a plain service."),
    Key("agent", "upstream", None, "URL", "The engine or plain service beside it."),
    Key(
        "agent",
        "upstream_name",
        None,
        "",
        "Name of the upstream, unique in the fleet and the same after a restart.",
    ),
    Key(
        "agent",
        "service",
        "",
        "",
        "Name under which callers reach the plain service; only where kind is service.",
    ),
    Key(
        "agent",
        "fencing",
        "true",
        "yes or no",
        "Whether the engine refuses an order with an old fencing number. Where it "
        "does not, a new agent first waits out the longest order.",
    ),
    Key(
        "agent",
        "concurrency",
        "32",
        "requests",
        "Requests that run on the upstream at a time.",
    ),
    Key(
        "agent",
        "queue_capacity",
        "1000",
        "requests",
        "Requests that wait here; more are refused.",
    ),
    Key(
        "agent",
        "progress_timeout",
        "20",
        "s",
        "An upstream that sends nothing of an answer for so long has failed.",
    ),
    Key(
        "agent",
        "report_interval",
        "0.5",
        "s",
        "Time between two looks at the upstream's load and state.",
    ),
    Key(
        "agent",
        "longest_order",
        "30",
        "s",
        "Longest time that the engine takes to carry out an order.",
    ),
    Key(
        "agent",
        "drain_timeout",
        "120",
        "s",
        "A process that stops waits at most so long for its running requests.",
    ),
    *GATEWAY_KEYS,
    Key(
        "service:NAME",
        "idempotent_methods",
        "GET HEAD OPTIONS PUT DELETE",
        "words",
        "Methods whose calls may be repeated. Others need an Idempotency-Key.",
    ),
    Key(
        "service:NAME",
        "idempotent_paths",
        "",
        "words",
        "Starts of paths whose calls may be repeated with any method.",
    ),
)

DEFAULTS: dict[str, dict[str, str]] = {
    section: {
        key.name: key.default
        for key in KEYS
        if key.section == section and key.default is not None
    }
    for section in SECTIONS
}
"""Defaults by section and key, as strings like in a file."""
