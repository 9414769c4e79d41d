"""The settings of gateways."""

from .setting_keys import Key

__all__ = ["GATEWAY_KEYS"]

GATEWAY_KEYS = (
    Key(
        "store",
        "adapter",
        "mustardquay_platform",
        "package",
        "Python package that speaks the platform's protocol.",
    ),
    Key("store", "address", None, "IP number:port", "Where the store is."),
    Key(
        "store",
        "upstreams_delay",
        "2",
        "s",
        "Time in which an upstream that leaves must get no more work. The list of "
        "upstreams is read four times in it.",
    ),
    Key(
        "store",
        "configuration_wait",
        "2",
        "s",
        "How long the store holds a read of the configuration until it changes. A "
        "connection that went silent is noticed 0.8 s later than that.",
    ),
    Key("gateway", "listen", None, "IP number:port", "Address for callers."),
    Key(
        "store",
        "upstream_readers",
        "0",
        "",
        "Gateways that read the list of upstreams for all, in fleets of more than four "
        "times as many; 0: each one reads it.",
    ),
    Key(
        "gateway",
        "readiness",
        None,
        "IP number:port",
        "Address where the balancer asks whether this process takes callers.",
    ),
    Key(
        "gateway",
        "peer_port",
        None,
        "port",
        "UDP port on which gateways tell each other their work.",
    ),
    Key("gateway", "metrics_port", "0", "port", "Port of /metrics; 0 serves none."),
    Key(
        "gateway",
        "processes",
        "8",
        "processes",
        "Gateways that may live at once; the retry allowance and the connections of "
        "an upstream are divided by it.",
    ),
    Key(
        "gateway",
        "drain_timeout",
        "7",
        "s",
        "A process that stops waits at most so long for its running requests. Less "
        "than the platform's time until it kills.",
    ),
    Key(
        "gateway",
        "link_rate",
        "0",
        "Mbit/s",
        "Rate of the link of this instance; 0 where it makes nothing wait.",
    ),
    Key(
        "gateway",
        "load_reports",
        "no",
        "yes or no",
        "Whether upstreams are chosen by the load and the speed that their answers "
        "report.",
    ),
    Key(
        "gateway",
        "configuration_relay",
        "no",
        "yes or no",
        "Whether a version of the configuration that the store does not send is asked "
        "of another gateway. The same at all gateways.",
    ),
    Key(
        "gateway",
        "peer_forwarding",
        "no",
        "yes or no",
        "Whether a long prompt is left to a gateway of the same availability zone "
        "whose link is several times faster. Takes the port after `peer_port`.",
    ),
    Key(
        "gateway",
        "organisation_shares",
        "no",
        "yes or no",
        "Whether organisations get equal shares of a service that has not enough "
        "capacity for all.",
    ),
    Key(
        "gateway",
        "memory",
        "0",
        "MB",
        "Memory of this process, near which new requests are refused; 0 for no limit.",
    ),
    Key(
        "bounds",
        "retry_ratio",
        "0.2",
        "",
        "Repeated sends of all gateways are at most this part of the requests.",
    ),
    Key(
        "bounds",
        "retry_allowance",
        "50",
        "sends",
        "Repeated sends of all gateways in a window beside that part.",
    ),
    Key("bounds", "retry_window", "10", "s", "Window over which repeats are counted."),
    Key(
        "bounds",
        "configuration_delay",
        "2",
        "s",
        "Time in which a version of the configuration has to be in force everywhere.",
    ),
    Key(
        "usage",
        "address",
        "",
        "IP number:port",
        "Where the platform takes reports; empty where it takes none.",
    ),
    Key(
        "usage",
        "window",
        "60",
        "s",
        "Length of the windows, which begin at multiples of it since the start of "
        "1970. The same at all gateways.",
    ),
    Key(
        "usage",
        "due",
        "10",
        "s",
        "Time after the end of a window in which its report must arrive. The same at "
        "all gateways.",
    ),
)
