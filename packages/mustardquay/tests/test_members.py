"""Membership: the list joined with heartbeats, and who links to whom."""

from collections import Counter
from datetime import timedelta

from hypothesis import given, settings, strategies as st

from mustardquay.membership import (
    MIN_ENTRIES_PER_AGENT,
    Instance,
    Membership,
    MemberState,
    choose_agents,
    choose_domains,
    choose_readers,
)

SILENCE = timedelta(seconds=4)
START = timedelta(hours=1)


def make_instance(kind, number, zone, state="live"):
    return Instance(f"{kind}-{number}", kind, "127.0.0.1", 7000, zone, state)


def list_states(membership, seconds, name="agent-1"):
    return membership.get_state(name, START + timedelta(seconds=seconds))


def test_a_leaving_upstream_gets_no_new_work_though_the_list_still_shows_it():
    """Alerts would go on to an instance that is about to stop.

    The instance says that it leaves; the list shows it as live for minutes, and a
    heartbeat of the process before it turns up late. When its drain is ended, or it
    is replaced, it gets work again.
    """
    membership = Membership(SILENCE)
    membership.update([make_instance("agent", 1, "linz")], START)
    assert list_states(membership, 0) is MemberState.LISTED
    membership.note_heartbeat("agent-1", 7, False, START)
    assert list_states(membership, 0) is MemberState.LIVE
    membership.note_heartbeat("agent-1", 7, True, START)
    membership.update([make_instance("agent", 1, "linz")], START)
    assert list_states(membership, 0) is MemberState.LEAVING
    assert membership.list_instances("agent", START) == []
    membership.note_heartbeat("agent-1", 6, False, START)
    assert list_states(membership, 0) is MemberState.LEAVING
    membership.note_heartbeat("agent-1", 7, False, START)
    assert list_states(membership, 0) is MemberState.LIVE
    membership.note_heartbeat("agent-1", 7, True, START)
    membership.note_heartbeat("agent-1", 8, False, START)
    assert list_states(membership, 0) is MemberState.LIVE


def test_who_is_heard_stays_though_the_list_does_not_show_it():
    membership = Membership(SILENCE)
    membership.update([make_instance("agent", 1, "linz")], START)
    membership.note_heartbeat("agent-1", 1, False, START)
    membership.update([], START)
    assert list_states(membership, 3) is MemberState.LIVE
    assert list_states(membership, 4) is MemberState.SILENT
    membership.update([], START + SILENCE)
    assert list_states(membership, 4) is None


def test_the_list_says_who_leaves_too():
    membership = Membership(SILENCE)
    membership.note_heartbeat("agent-1", 1, False, START)
    membership.update([make_instance("agent", 1, "linz", "leaving")], START)
    assert list_states(membership, 0) is MemberState.LEAVING


ZONES = st.lists(
    st.tuples(st.integers(0, 6), st.integers(0, 12)), min_size=1, max_size=5
)


def make_fleet(zones):
    entries, agents = [], []
    for number, (entry_count, agent_count) in enumerate(zones):
        zone = f"zone-{number}"
        for _ in range(entry_count):
            entries.append(make_instance("entry", len(entries), zone))
        for _ in range(agent_count):
            agents.append(make_instance("agent", len(agents), zone))
    return entries, agents


def count_links(entries, agents, limit=8):
    links = Counter()
    for entry in entries:
        for agent in choose_agents(entry.name, entries, agents, limit):
            links[agent.name, entry.availability_zone] += 1
    return links


@settings(derandomize=True, deadline=None, database=None, max_examples=150)
@given(zones=ZONES)
def test_every_agent_has_several_entries_of_its_own_zone_first(zones):
    entries, agents = make_fleet(zones)
    links = count_links(entries, agents)
    for agent in agents:
        total = sum(number for (name, _), number in links.items() if name == agent.name)
        assert total >= min(MIN_ENTRIES_PER_AGENT, len(entries))
        own = [e for e in entries if e.availability_zone == agent.availability_zone]
        if len(own) >= MIN_ENTRIES_PER_AGENT:
            assert links[agent.name, agent.availability_zone] >= MIN_ENTRIES_PER_AGENT


@settings(derandomize=True, deadline=None, database=None, max_examples=50)
@given(zones=ZONES, data=st.data())
def test_losing_an_entry_moves_no_link_of_other_zones(zones, data):
    zones = [(entries + 2 * MIN_ENTRIES_PER_AGENT, agents) for entries, agents in zones]
    entries, agents = make_fleet(zones)
    lost = data.draw(st.sampled_from(entries))
    left = [entry for entry in entries if entry is not lost]
    for entry in left:
        if entry.availability_zone != lost.availability_zone:
            before = choose_agents(entry.name, entries, agents, 8)
            assert choose_agents(entry.name, left, agents, 8) == before


def test_readers_are_few_stable_and_of_their_zone():
    entries, _ = make_fleet([(6, 0), (2, 0)])
    readers = choose_readers(entries, "zone-0")
    assert len(readers) == 3 and len(choose_readers(entries, "zone-1")) == 2
    left = [entry for entry in entries if entry.name != readers[1]]
    assert choose_readers(left, "zone-0")[:2] == [readers[0], readers[2]]


@settings(derandomize=True, deadline=None, database=None, max_examples=100)
@given(zones=ZONES)
def test_every_zone_with_agents_has_candidates_for_its_lease(zones):
    entries, agents = make_fleet(zones)
    candidates = Counter(
        zone
        for entry in entries
        for zone in choose_domains(entry.name, entries, agents)
    )
    wanted = min(len(entries), MIN_ENTRIES_PER_AGENT)
    zones_with_agents = {agent.availability_zone for agent in agents}
    if wanted:
        assert candidates == dict.fromkeys(zones_with_agents, wanted)
