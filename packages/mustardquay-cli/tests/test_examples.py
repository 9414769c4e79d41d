from pathlib import Path

import pytest

from mustardquay.documents import parse_change, parse_contract
from mustardquay.releases import parse_release
from mustardquay_node.settings import read_settings

EXAMPLES = Path(__file__).parents[3] / "examples"


@pytest.mark.parametrize("site", ["strassenmeldung", "syndesmos"])
def test_example_sites_are_valid_and_complete(site):
    root = EXAMPLES / site
    processes = [
        read_settings(root / "common.ini", path)
        for path in sorted((root / "processes").glob("*.ini"))
    ]
    kinds = [item.agent.kind if item.agent else "entry" for item in processes]
    assert [kinds.count(kind) for kind in ("entry", "engine", "service")] == [2, 6, 3]
    assert len({item.node.availability_zone for item in processes}) == 3
    ports = [item.node.admin_port for item in processes]
    ports += [(item.entry or item.agent).port for item in processes]
    assert len(set(ports)) == 22


@pytest.mark.parametrize("site", ["strassenmeldung", "syndesmos"])
def test_example_documents_are_valid_and_share_the_fleet(site):
    root = EXAMPLES / site
    contracts = [
        parse_contract(path.read_text(), path.name).to_contract()
        for path in sorted((root / "contracts").glob("*.ini"))
    ]
    assert sum(contract.share for contract in contracts) <= 1
    assert len({key for item in contracts for key in item.key_hashes}) == 3
    models = {name for contract in contracts for name in contract.models}
    releases = [
        parse_release(path.read_text(), path.name)
        for path in (root / "releases").glob("*.ini")
    ]
    assert {release.model for release in releases} == models
    for path in (root / "changes").glob("*.ini"):
        assert parse_change(path.read_text(), path.name).name == path.stem
