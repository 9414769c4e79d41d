"""The configuration log under racing operators, late copies and lost answers."""

from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from mustardquay.configuration_log import (
    CONFIGURATIONS,
    ENTRY_PREFIX,
    HEAD_KEY,
    Accepted,
    build_entry_key,
    build_transaction,
    interpret_result,
    read_version,
)
from mustardquay.contracts import Contract
from mustardquay.encodings import decode
from mustardquay.errors import ConflictError, DocumentError
from mustardquay.memory_tables import apply_transaction
from mustardquay.revisions import (
    Configuration,
    ContractAmendment,
    Edit,
    Entry,
    apply_entries,
    apply_entry,
    check_edit,
)

OPERATORS = st.integers(0, 1)
PROCESSES = st.integers(0, 2)
CUSTOMERS = st.sampled_from(["radio", "tram"])
SHARES = st.sampled_from([0.2, 0.5, 0.6])


class Operator:
    """What one operator's editor knows and has under way."""

    def __init__(self):
        self.configuration = Configuration()
        self.head = None
        self.entry = None
        self.transaction = None
        self.copies = []
        self.answer = None


class LogMachine(RuleBasedStateMachine):
    """Two operators and three processes; messages are delayed, doubled and lost."""

    def __init__(self):
        super().__init__()
        self.rows = {}
        self.operators = [Operator(), Operator()]
        self.processes = [Configuration()] * 3
        self.numbers = 0
        self.accepted = {}
        self.refused = set()

    def list_entries(self):
        keys = sorted(key for table, key in self.rows if key.startswith(ENTRY_PREFIX))
        return [decode(Entry, self.rows[(CONFIGURATIONS, key)].value) for key in keys]

    @rule(number=OPERATORS)
    def read(self, number):
        operator = self.operators[number]
        operator.head = self.rows.get((CONFIGURATIONS, HEAD_KEY))
        operator.configuration = apply_entries(Configuration(), self.list_entries())

    @rule(number=OPERATORS, customer=CUSTOMERS, share=SHARES)
    def edit(self, number, customer, share):
        """Propose an edit from what is known, which may be old."""
        operator = self.operators[number]
        if operator.entry is not None:
            return
        self.numbers += 1
        known = operator.configuration.contracts.get(customer)
        revision = 0 if known is None else known.revision
        contract = Contract(customer, (f"hash-{customer}",), share)
        amendment = ContractAmendment(customer, revision, contract)
        edit = Edit(f"change-{self.numbers}", f"operator-{number}", (amendment,))
        self.propose(operator, edit)

    def propose(self, operator, edit):
        try:
            check_edit(operator.configuration, edit)
        except (ConflictError, DocumentError):
            self.refused.add(edit.change_id)
            operator.entry = None
            return
        operator.entry = Entry(read_version(operator.head) + 1, edit)
        operator.transaction = build_transaction(operator.head, operator.entry)
        operator.copies.append((operator.entry, operator.transaction))

    @rule(number=OPERATORS)
    def send_again(self, number):
        """Resolve an answer that was lost."""
        operator = self.operators[number]
        if operator.entry is not None:
            operator.copies.append((operator.entry, operator.transaction))

    @rule(number=OPERATORS, which=st.integers(0, 5), lost=st.booleans())
    def deliver(self, number, which, lost):
        """Carry out any copy that is under way, also one from an older edit."""
        operator = self.operators[number]
        if not operator.copies:
            return
        entry, transaction = operator.copies.pop(which % len(operator.copies))
        result = apply_transaction(self.rows, transaction)
        if not lost and entry == operator.entry:
            operator.answer = result

    @rule(number=OPERATORS)
    def act_at_once(self, number):
        """Send and settle what is under way without a delay."""
        self.deliver(number, which=0, lost=False)
        self.settle(number, again=True)

    @rule(number=OPERATORS, again=st.booleans())
    def settle(self, number, again):
        operator = self.operators[number]
        if operator.answer is None:
            return
        outcome = interpret_result(operator.entry, operator.answer)
        edit, operator.entry, operator.answer = operator.entry.edit, None, None
        if isinstance(outcome, Accepted):
            self.accepted[edit.change_id] = outcome.version
        elif again:
            self.read(number)
            self.propose(operator, edit)
        else:
            self.refused.add(edit.change_id)

    @rule(number=PROCESSES, which=st.lists(st.integers(0, 9), max_size=4))
    def receive(self, number, which):
        """Bring a process some entries, in any order and again and again."""
        entries = self.list_entries()
        if not entries:
            return
        chosen = [entries[index % len(entries)] for index in which]
        before = self.processes[number]
        after = apply_entries(before, chosen)
        assert after.version >= before.version
        assert after == self.replay(after.version)
        self.processes[number] = after

    def replay(self, version):
        configuration = Configuration()
        for entry in self.list_entries()[:version]:
            configuration = apply_entry(configuration, entry)
        return configuration

    @invariant()
    def the_log_has_no_gap_and_no_doubled_edit(self):
        entries = self.list_entries()
        head = read_version(self.rows.get((CONFIGURATIONS, HEAD_KEY)))
        assert [entry.version for entry in entries] == list(range(1, head + 1))
        ids = [entry.edit.change_id for entry in entries]
        assert len(set(ids)) == len(ids)

    @invariant()
    def an_accepted_edit_is_never_lost(self):
        for change_id, version in self.accepted.items():
            entry = decode(
                Entry, self.rows[(CONFIGURATIONS, build_entry_key(version))].value
            )
            assert entry.edit.change_id == change_id

    @invariant()
    def a_refused_edit_never_takes_force(self):
        ids = {entry.edit.change_id for entry in self.list_entries()}
        assert not ids & self.refused

    @invariant()
    def no_edit_overwrites_one_that_its_author_had_not_seen(self):
        configuration = Configuration()
        for entry in self.list_entries():
            for amendment in entry.edit.amendments:
                assert amendment.revision == configuration.find_revision(amendment)
            configuration = apply_entry(configuration, entry)
            shares = [item.share for item in configuration.contracts.values()]
            assert sum(shares) <= 1 + 1e-9


TestLog = LogMachine.TestCase
TestLog.settings = settings(
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=150,
    stateful_step_count=40,
)
