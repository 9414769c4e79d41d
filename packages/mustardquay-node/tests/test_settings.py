import pytest
from hypothesis import given, settings, strategies

from mustardquay.errors import SettingsError
from mustardquay_node.keys import DEFAULTS, KEYS
from mustardquay_node.node_settings import (
    AgentSettings,
    EntrySettings,
    LinkSettings,
    PlatformSettings,
    ServiceSettings,
)
from mustardquay_node.settings import (
    NodeSettings,
    check_settings,
    read_settings,
)

MODELS = {
    "node": NodeSettings,
    "platform": PlatformSettings,
    "link": LinkSettings,
    "entry": EntrySettings,
    "agent": AgentSettings,
    "service:NAME": ServiceSettings,
}
PLATFORM = dict.fromkeys(("tables", "objects", "instances"), "http://127.0.0.1:9000")
ENTRY = {
    "node": {"name": "entry-1", "kind": "entry", "availability_zone": "linz"},
    "platform": PLATFORM,
    "link": {"keys": "link-secret"},
    "entry": {"operator_keys": "operator-secret"},
}
AGENT = ENTRY | {
    "node": {"name": "agent-1", "kind": "agent", "availability_zone": "linz"},
    "agent": {"upstream": "http://127.0.0.1:9001", "upstream_name": "engine-1"},
}


def amend(sections, section, **values):
    return sections | {section: sections.get(section, {}) | values}


def test_table_and_models_have_the_same_keys():
    for section, model in MODELS.items():
        names = [key.name for key in KEYS if key.section == section]
        assert names == list(model.model_fields)
    assert all(key.meaning.endswith(".") for key in KEYS)


def test_every_default_is_valid():
    entry = check_settings(ENTRY)
    agent = check_settings(AGENT)
    assert entry.entry.claim_window.total_seconds() == 0.005
    assert agent.agent.fencing is True
    assert DEFAULTS["entry"]["port"] == "0"
    assert entry.agent is None and agent.entry is None


@pytest.mark.parametrize(
    "sections, text",
    [
        (amend(ENTRY, "node", address="localhost"), "[node] address: must be an IP"),
        (amend(ENTRY, "node", kind="both"), "[node] kind: is not known"),
        (amend(ENTRY, "node", admin_port="65536"), "[node] admin_port"),
        (amend(ENTRY, "platform", tables="http://tables:1"), "[platform] tables"),
        (amend(ENTRY, "platform", tables="ftp://127.0.0.1"), "[platform] tables"),
        (amend(ENTRY, "platform", timeout="nan"), "[platform] timeout"),
        (amend(ENTRY, "link", keys=""), "[link] keys: is empty"),
        (amend(ENTRY, "link", silence="2"), "[link] silence: must be over two"),
        (amend(ENTRY, "link", heartbeat="0"), "[link] heartbeat: must be over 0"),
        (amend(ENTRY, "entry", certificate="c"), "[entry] private_key: is missing"),
        (amend(ENTRY, "entry", private_key="k"), "[entry] certificate: is missing"),
        (amend(ENTRY, "entry", body_limit="16777216"), "[entry] body_limit"),
        (amend(ENTRY, "entry", retry_ratio="1.5"), "must be 1 or less; lower it"),
        (amend(ENTRY, "entry", prot="1"), "[entry] prot: is unknown; remove it"),
        (amend(ENTRY, "agent", prot="1"), "[agent] prot: is unknown; remove it"),
        (amend(ENTRY, "etnry", port="1"), "[etnry]: is an unknown section"),
        (amend(ENTRY, "service:a", paths="/"), "[service:a] paths: is unknown"),
        (amend(AGENT, "agent", kind="service"), "[agent] service: is missing"),
        (amend(AGENT, "agent", service="alerts"), "[agent] service: is set where"),
        (amend(AGENT, "agent", upstream="http://engine:1"), "[agent] upstream: must"),
        ({**ENTRY, "entry": {}}, "[entry] operator_keys: is missing; add it"),
        ({}, "[node]"),
    ],
)
def test_faults_name_section_key_and_remedy(sections, text):
    with pytest.raises(SettingsError) as caught:
        check_settings(sections, "a.ini")
    message = str(caught.value)
    assert text in message
    assert all(line.startswith("a.ini: [") for line in message.splitlines())
    assert "secret" not in message


def test_a_fault_names_the_file_that_set_the_key(tmp_path):
    common = tmp_path / "common.ini"
    common.write_text("[link]\nkeys = a\nheartbeat = 1\nsilence = 1\n")
    own = tmp_path / "own.ini"
    own.write_text(
        "[node]\nname = e\nkind = entry\navailability_zone = z\n"
        "[platform]\ntables = x\n[link]\nheartbeat = soon\n"
    )
    with pytest.raises(SettingsError) as caught:
        read_settings(common, own)
    lines = str(caught.value).splitlines()
    assert any(line.startswith(f"{own}: [link] heartbeat: ") for line in lines)
    assert any(line.startswith(f"{own}: [platform] tables: ") for line in lines)
    assert any(line.startswith(f"{own}: [platform] objects: is mis") for line in lines)
    own.write_text(own.read_text().replace("soon", "2"))
    with pytest.raises(SettingsError, match="platform"):
        read_settings(common, own)


@pytest.mark.parametrize("text", [b"no section", b"[a]\nb", b"[node]\nname = \xff"])
def test_files_that_are_not_ini_are_refused(tmp_path, text):
    path = tmp_path / "a.ini"
    path.write_bytes(text)
    with pytest.raises(SettingsError, match="a.ini: is not an INI file"):
        read_settings(path)
    with pytest.raises(SettingsError, match="check the path"):
        read_settings(tmp_path / "none.ini")


@settings(derandomize=True, deadline=None, database=None, max_examples=300)
@given(
    key=strategies.sampled_from(KEYS),
    value=strategies.one_of(
        strategies.text(max_size=8),
        strategies.sampled_from(
            ["nan", "inf", "-1", "0", "1e400", "true", "٣", "http://["]
        ),
    ),
)
def test_any_text_is_accepted_or_refused_with_the_name_of_its_key(key, value):
    base = AGENT if key.section == "agent" else ENTRY
    section = key.section.replace("NAME", "alerts")
    try:
        check_settings(amend(base, section, **{key.name: value}), "a.ini")
    except SettingsError as error:
        assert "a.ini: [" in str(error)
