"""Documents: contracts and planned changes in the form that operators write.

A document is an INI file (section `contract` with `lateness`, or `change`) or the
same fields as JSON. Durations are in seconds, timestamps are ISO 8601 with a zone.
"""

from collections.abc import Iterable
from configparser import ConfigParser, Error as ConfigParserError
from datetime import UTC
from hashlib import sha256
from typing import Annotated, Any, Self, TypeVar

from pydantic import (
    AwareDatetime,
    BaseModel,
    BeforeValidator,
    ConfigDict,
    Field,
    StringConstraints,
    TypeAdapter,
    ValidationError,
    model_validator,
)

from .contracts import Contract, Lateness
from .errors import DocumentError
from .fields import Duration, SplitWords
from .plans import Action, PlannedChange, Scope
from .validation_errors import TIMESTAMP_REMEDY, describe_errors

__all__ = [
    "ChangeDocument",
    "ContractDocument",
    "Document",
    "LatenessDocument",
    "Texts",
    "check_document",
    "describe_change",
    "describe_contract",
    "hash_key",
    "hash_keys",
    "parse_change",
    "parse_contract",
    "parse_sections",
]

Model = TypeVar("Model", bound=BaseModel)


def hash_key(key: str) -> str:
    """Return the SHA-256 digest, in hex, under which a bearer key is kept.

    >>> hash_key("secret")[:8]
    '2bb80d53'
    """
    return sha256(key.encode()).hexdigest()


def hash_keys(keys: Iterable[str], source: str) -> list[str]:
    """Return the digests of bearer keys; raises `DocumentError` for invalid keys."""
    adapter = TypeAdapter(tuple[Key, ...])
    try:
        return [hash_key(key) for key in adapter.validate_python(tuple(keys))]
    except ValidationError as error:
        raise DocumentError(
            describe_errors(error, lambda path: f"{source}: keys")
        ) from None


Name = Annotated[str, StringConstraints(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")]
Digest = Annotated[str, StringConstraints(pattern=r"^[0-9a-f]{64}$")]
Key = Annotated[str, StringConstraints(pattern=r"^[!-~]{8,512}$")]
Names = Annotated[tuple[Name, ...], SplitWords]
Texts = Annotated[tuple[Annotated[str, Field(min_length=1)], ...], SplitWords]


def _refuse_number(value: Any) -> Any:
    """Reject numbers, as a mistyped time of day would pass for seconds since 1970."""
    if isinstance(value, int | float) or (
        isinstance(value, str) and value.replace(".", "").lstrip("+-").isdigit()
    ):
        raise ValueError(TIMESTAMP_REMEDY)
    return value


class Document(BaseModel):
    """Base class of documents: immutable, and without unknown fields."""

    model_config = ConfigDict(extra="forbid", frozen=True, hide_input_in_errors=True)


class LatenessDocument(Document):
    """Section `lateness`: the tolerated latency of answers, in seconds."""

    first_token: Duration = Lateness().first_token
    between_tokens: Duration = Lateness().between_tokens
    whole: Duration = Lateness().whole

    @model_validator(mode="after")
    def _check_order(self) -> Self:
        if self.first_token > self.whole:
            raise ValueError(
                "first_token must not be over whole, which ends later; lower it"
            )
        return self


class ContractDocument(Document):
    """Section `contract`: the agreement with one customer."""

    customer: Name
    keys: Annotated[tuple[Key, ...], SplitWords] = ()
    """Bearer keys in plain text, of which only digests are stored."""
    key_hashes: Annotated[tuple[Digest, ...], SplitWords] = ()
    share: Annotated[float, Field(gt=0, le=1, allow_inf_nan=False)]
    priority: Annotated[int, Field(ge=0, le=9)] = 0
    models: Texts = ()
    adapters: Texts = ()
    services: Names = ()
    lateness: LatenessDocument = Field(default_factory=LatenessDocument)
    revision: Annotated[int, Field(ge=0)] = 0
    """The revision that this document amends; 0 creates a contract."""

    @classmethod
    def from_contract(cls, contract: Contract) -> "ContractDocument":
        """Return the document of a contract, with its keys as digests only."""
        return cls(
            customer=contract.customer,
            key_hashes=contract.key_hashes,
            share=contract.share,
            priority=contract.priority,
            models=contract.models,
            adapters=contract.adapters,
            services=contract.services,
            lateness=LatenessDocument(
                first_token=contract.lateness.first_token,
                between_tokens=contract.lateness.between_tokens,
                whole=contract.lateness.whole,
            ),
            revision=contract.revision,
        )

    def to_contract(self) -> Contract:
        """Return the data class, with digests in place of the keys."""
        hashes = (*self.key_hashes, *(hash_key(key) for key in self.keys))
        return Contract(
            customer=self.customer,
            key_hashes=tuple(dict.fromkeys(hashes)),
            share=self.share,
            priority=self.priority,
            models=self.models,
            adapters=self.adapters,
            services=self.services,
            lateness=Lateness(**dict(self.lateness)),
            revision=self.revision,
        )


class ChangeDocument(Document):
    """Section `change`: a planned change to part of the fleet."""

    name: Name
    action: Action
    scope: Scope = Scope.UPSTREAM
    target: Annotated[str, Field(min_length=1)]
    starts_at: Annotated[AwareDatetime | None, BeforeValidator(_refuse_number)] = None
    """None means at once."""
    accept_overload: bool = False
    revision: Annotated[int, Field(ge=0)] = 0
    """The revision that this document amends; 0 creates a planned change."""

    def to_change(self) -> PlannedChange:
        """Return the data class, with its timestamp in UTC."""
        starts_at = self.starts_at and self.starts_at.astimezone(UTC)
        return PlannedChange(**(dict(self) | {"starts_at": starts_at}))


def describe_change(change: PlannedChange) -> dict[str, Any]:
    """Return a planned change's fields for JSON, its timestamp as ISO 8601."""
    return {
        "name": change.name,
        "action": change.action.value,
        "scope": change.scope.value,
        "target": change.target,
        "starts_at": change.starts_at and change.starts_at.isoformat(),
        "accept_overload": change.accept_overload,
        "revision": change.revision,
    }


def describe_contract(contract: Contract) -> dict[str, Any]:
    """Return a contract's fields for JSON, durations in seconds."""
    lateness = contract.lateness
    return {
        "customer": contract.customer,
        "key_hashes": list(contract.key_hashes),
        "share": contract.share,
        "priority": contract.priority,
        "models": list(contract.models),
        "adapters": list(contract.adapters),
        "services": list(contract.services),
        "lateness": {
            "first_token": lateness.first_token.total_seconds(),
            "between_tokens": lateness.between_tokens.total_seconds(),
            "whole": lateness.whole.total_seconds(),
        },
        "revision": contract.revision,
    }


def parse_contract(text: str, source: str) -> ContractDocument:
    """Parse a contract from INI text; errors name `source`.

    Raises `DocumentError`, which names source, section, field and remedy.
    """
    sections = parse_sections(text, source, "contract", "lateness")
    fields = sections["contract"]
    if "lateness" in sections:
        fields["lateness"] = sections["lateness"]
    return check_document(ContractDocument, fields, source, "contract")


def parse_change(text: str, source: str) -> ChangeDocument:
    """Parse a planned change from INI text.

    Raises `DocumentError`, which names source, section, field and remedy.
    """
    fields = parse_sections(text, source, "change")["change"]
    return check_document(ChangeDocument, fields, source, "change")


def parse_sections(
    text: str, source: str, needed: str, *others: str
) -> dict[str, dict[str, Any]]:
    """Parse INI text; section `needed` is required, and `others` are allowed."""
    parser = ConfigParser(interpolation=None)
    try:
        parser.read_string(text, source)
    except ConfigParserError as error:
        raise DocumentError(
            f"{source}: is not a valid INI file; correct it: {error.message}"
        ) from None
    known = (needed, *others)
    for name in parser.sections():
        if name not in known:
            raise DocumentError(
                f"{source}: section [{name}] is unknown; remove it or use "
                f"{', '.join(f'[{word}]' for word in known)}."
            )
    if needed not in parser:
        raise DocumentError(f"{source}: section [{needed}] is missing; add it.")
    return {name: dict(parser[name]) for name in parser.sections()}


def check_document(
    model: type[Model], fields: Any, source: str, section: str = ""
) -> Model:
    """Validate `fields` and return the document.

    `section` names the top section if the fields come from an INI file. Raises
    `DocumentError`, which names source, field and remedy.
    """

    def locate(path: tuple[int | str, ...]) -> str:
        if not section:
            return f"{source}: {'.'.join(map(str, path)) or 'document'}"
        place, *rest = [section, *path]
        if path and path[0] == "lateness" and len(path) > 1:
            place, *rest = path
        return f"{source}: [{place}] {'.'.join(map(str, rest))}".rstrip()

    try:
        return model.model_validate(fields)
    except ValidationError as error:
        raise DocumentError(describe_errors(error, locate)) from None
