from mustardquay_node.peers import PEERS_LIMIT, list_told


def test_each_gateway_of_a_large_fleet_is_told_by_some():
    """Most gateways of a large fleet send their work to engines that are full.

    Each gateway told the same sixteen, the first by name; the others heard nobody and
    placed work as if they were alone.
    """
    names = [f"gateway-{number:03}" for number in range(100)]
    told = {name: list_told(name, set(names) - {name}) for name in names}
    for name in names:
        listeners = [each for each in names if name in told[each]]
        assert len(listeners) == PEERS_LIMIT
        assert name not in told[name]
