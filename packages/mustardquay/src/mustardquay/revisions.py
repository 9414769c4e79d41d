"""Revisions: the configuration, and the edits that advance it by one version.

The configuration results from the entries of an append-only log. An edit states the
revision of each item that it amends, so that of two concurrent edits one succeeds and
the other gets a conflict. The module
`configuration_log` maps the log to rows of tables.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace
from typing import Annotated, Literal, TypeAlias

from pydantic import Field

from .contracts import Contract
from .errors import ConflictError, DocumentError, ProtocolError
from .plans import PlannedChange, Release

__all__ = [
    "Amendment",
    "Catalogue",
    "ChangeAmendment",
    "Configuration",
    "ContractAmendment",
    "Edit",
    "Entry",
    "ReleaseAmendment",
    "apply_entries",
    "apply_entry",
    "check_edit",
]

SHARE_TOLERANCE = 1e-9


@dataclass(frozen=True, slots=True)
class ContractAmendment:
    """Sets the contract of a customer, or removes it when the value is None."""

    name: str
    """Customer."""
    revision: int
    """Revision of the amended contract; 0 if there is none yet."""
    value: Contract | None
    kind: Literal["contract"] = "contract"


@dataclass(frozen=True, slots=True)
class ChangeAmendment:
    """Announces a planned change, or withdraws it when the value is None."""

    name: str
    revision: int
    value: PlannedChange | None
    kind: Literal["change"] = "change"


@dataclass(frozen=True, slots=True)
class ReleaseAmendment:
    """Sets the version of a model, or removes the release when the value is None."""

    name: str
    """Model."""
    revision: int
    value: Release | None
    kind: Literal["release"] = "release"


Amendment: TypeAlias = Annotated[
    ContractAmendment | ChangeAmendment | ReleaseAmendment,
    Field(discriminator="kind"),
]


@dataclass(frozen=True, slots=True)
class Edit:
    """Amendments of one operator that are applied atomically."""

    change_id: str
    """Unique idempotency key: an edit sent again with the same id is applied once."""
    author: str
    amendments: tuple[Amendment, ...]


@dataclass(frozen=True, slots=True)
class Entry:
    """An accepted edit; `version` is its position in the log, from 1."""

    version: int
    edit: Edit


@dataclass(frozen=True, slots=True)
class Catalogue:
    """What the fleet provides in addition to the configured releases."""

    models: frozenset[str] = frozenset()
    adapters: frozenset[str] = frozenset()
    services: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class Configuration:
    """All contracts, planned changes and releases at one version."""

    version: int = 0
    contracts: Mapping[str, Contract] = field(default_factory=dict)
    """By customer."""
    changes: Mapping[str, PlannedChange] = field(default_factory=dict)
    """By name."""
    releases: Mapping[str, Release] = field(default_factory=dict)
    """By model."""
    owners: Mapping[str, str] = field(default_factory=dict, repr=False)
    """Customer by hash of its bearer key."""

    def find_contract(self, key_hash: str) -> Contract | None:
        """Return the contract whose bearer key has this hash, in constant time."""
        customer = self.owners.get(key_hash)
        if customer is None:
            return None
        return self.contracts[customer]

    def find_revision(self, amendment: Amendment) -> int:
        """Return the current revision of the amended item, 0 if absent."""
        item = self._items(amendment.kind).get(amendment.name)
        return 0 if item is None else item.revision

    def _items(self, kind: str) -> Mapping[str, Contract | PlannedChange | Release]:
        if kind == "contract":
            return self.contracts
        if kind == "change":
            return self.changes
        return self.releases


def apply_entry(configuration: Configuration, entry: Entry) -> Configuration:
    """Return the configuration after the entry, which must be the next one.

    Raises `ProtocolError` for any other version.
    """
    expected = configuration.version + 1
    if entry.version != expected:
        raise ProtocolError(
            f"Entry {entry.version} can't follow version {configuration.version}; "
            f"request the entries from {expected} on."
        )
    return _amend(configuration, entry.version, entry.edit.amendments)


def apply_entries(
    configuration: Configuration, entries: Iterable[Entry]
) -> Configuration:
    """Apply the entries that follow without a gap; skip those already applied."""
    for entry in sorted(entries, key=lambda entry: entry.version):
        if entry.version <= configuration.version:
            continue
        if entry.version > configuration.version + 1:
            break
        configuration = apply_entry(configuration, entry)
    return configuration


def check_edit(
    configuration: Configuration, edit: Edit, catalogue: Catalogue | None = None
) -> Configuration:
    """Return the configuration that would result from the edit.

    Raises `ConflictError` if the edit amends a revision that is not the current one,
    and `DocumentError` if the result is invalid or its shares exceed the fleet. With
    `catalogue` None, models, adapters and services are not checked for existence.
    """
    _check_names(edit)
    for amendment in edit.amendments:
        _check_revision(configuration, amendment)
    result = _amend(configuration, configuration.version + 1, edit.amendments)
    _check_keys(result, edit)
    _check_shares(configuration, result)
    if catalogue is not None:
        _check_catalogue(result, edit, catalogue)
    return result


def _amend(
    configuration: Configuration, version: int, amendments: Iterable[Amendment]
) -> Configuration:
    items = {
        "contract": dict(configuration.contracts),
        "change": dict(configuration.changes),
        "release": dict(configuration.releases),
    }
    owners = dict(configuration.owners)
    for amendment in amendments:
        table = items[amendment.kind]
        if amendment.kind == "contract":
            _move_keys(owners, table.get(amendment.name), amendment.value)
        if amendment.value is None:
            table.pop(amendment.name, None)
        else:
            table[amendment.name] = replace(amendment.value, revision=version)
    return Configuration(
        version, items["contract"], items["change"], items["release"], owners
    )


def _move_keys(
    owners: dict[str, str], before: Contract | None, after: Contract | None
) -> None:
    if before is not None:
        for key_hash in before.key_hashes:
            if owners.get(key_hash) == before.customer:
                del owners[key_hash]
    if after is not None:
        for key_hash in after.key_hashes:
            owners[key_hash] = after.customer


def _check_names(edit: Edit) -> None:
    if not edit.amendments:
        raise DocumentError("The edit has no amendments; add at least one.")
    names = {(amendment.kind, amendment.name) for amendment in edit.amendments}
    if len(names) < len(edit.amendments):
        raise DocumentError(
            "The edit amends an item twice; keep one amendment for each item."
        )
    for amendment in edit.amendments:
        _check_name(amendment)


def _check_name(amendment: Amendment) -> None:
    value = amendment.value
    if value is None:
        return
    if isinstance(value, Contract):
        name = value.customer
    elif isinstance(value, PlannedChange):
        name = value.name
    else:
        name = value.model
    if name != amendment.name:
        raise DocumentError(
            f"The {amendment.kind} {amendment.name} contains the name "
            f"{name}; use the same name in both places."
        )


def _check_revision(configuration: Configuration, amendment: Amendment) -> None:
    present = configuration.find_revision(amendment)
    if present != amendment.revision:
        raise ConflictError(
            f"The {amendment.kind} {amendment.name} is at revision {present}, and "
            f"the edit amends revision {amendment.revision}; show it, merge your "
            f"edit into it and apply it with revision {present}."
        )


def _check_keys(result: Configuration, edit: Edit) -> None:
    # A key shared by two contracts would identify the wrong customer. Each key of an
    # amended contract must map to its customer, and all contracts together must have
    # as many keys as the map, or else a key was taken from another contract.
    for amendment in edit.amendments:
        if not isinstance(amendment.value, Contract):
            continue
        for key_hash in amendment.value.key_hashes:
            if result.owners.get(key_hash) != amendment.name:
                raise _shared_key_error(amendment.name)
    held = sum(len(set(item.key_hashes)) for item in result.contracts.values())
    if held != len(result.owners):
        raise _shared_key_error(edit.amendments[0].name)


def _shared_key_error(customer: str) -> DocumentError:
    return DocumentError(
        f"A key of {customer} also belongs to another customer; use a different key."
    )


def _check_shares(before: Configuration, after: Configuration) -> None:
    total = sum(contract.share for contract in after.contracts.values())
    if total <= 1 + SHARE_TOLERANCE:
        return
    earlier = sum(contract.share for contract in before.contracts.values())
    if total <= earlier:
        return
    raise DocumentError(
        f"The shares of {len(after.contracts)} contracts would add up to "
        f"{total:.4f} of the fleet, {total - 1:.4f} over the whole (before the "
        f"edit {earlier:.4f}); lower shares by that much in the same edit."
    )


def _check_catalogue(result: Configuration, edit: Edit, catalogue: Catalogue) -> None:
    models = catalogue.models | result.releases.keys()
    released = {name for item in result.releases.values() for name in item.adapters}
    adapters = catalogue.adapters | released
    for contract in _affected_contracts(result, edit):
        _check_known(contract, "model", contract.models, models)
        _check_known(contract, "adapter", contract.adapters, adapters)
        _check_known(contract, "service", contract.services, catalogue.services)


def _affected_contracts(result: Configuration, edit: Edit) -> Iterable[Contract]:
    if any(amendment.kind == "release" for amendment in edit.amendments):
        return result.contracts.values()
    names = {item.name for item in edit.amendments if item.kind == "contract"}
    return [result.contracts[name] for name in names if name in result.contracts]


def _check_known(
    contract: Contract, kind: str, names: Iterable[str], known: Iterable[str]
) -> None:
    unknown = sorted(set(names) - set(known))
    if unknown:
        raise DocumentError(
            f"The contract of {contract.customer} names the {kind} "
            f"{', '.join(unknown)}, which no upstream has; known are "
            f"{', '.join(sorted(known)) or 'none'}."
        )
