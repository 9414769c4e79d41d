"""Forwarding of requests from gateways on slow links to gateways on fast ones."""

from .peer_forwarders import PeerForwarder, PeerForwarderDependencies

__all__ = ["PeerForwarder", "PeerForwarderDependencies"]
