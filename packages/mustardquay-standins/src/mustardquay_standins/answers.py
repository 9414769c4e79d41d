"""Answers: the deterministic text that an engine stand-in generates for a prompt.

Every caller can compute its whole answer, so that it detects a token that is lost,
duplicated, swapped with another request's or generated for another prompt. One word
is one token; each token but the first begins with a space.
"""

from typing import Any

import xxhash

__all__ = [
    "ONE_WORD_MARKER",
    "count_tokens",
    "expected_text",
    "expected_token",
    "expected_tokens",
    "hash_prompt",
    "read_prompt",
]

ONE_WORD_MARKER = "answer in one word"
"""A prompt that contains this text is answered with `open` or `shut`."""
CHARACTERS_PER_TOKEN = 4
WORDS = (
    "road bridge ramp lane tunnel valley tram bus north south east west early late "
    "booth hour microphone studio evening morning host guest quiet ready closed near"
).split()


def hash_prompt(prompt: str) -> int:
    """Return the hash that identifies a prompt."""
    return xxhash.xxh64_intdigest(prompt.encode())


def expected_token(prompt_hash: int, index: int) -> str:
    """Return the token at `index`, without its leading space."""
    word = WORDS[((prompt_hash >> (index % 40)) + index) % len(WORDS)]
    return f"{word}{index}"


def expected_tokens(prompt: str, max_tokens: int) -> list[str]:
    """Return the tokens of the answer; joined, they are its text.

    >>> "".join(expected_tokens("Booth 3?", 2)) == expected_text("Booth 3?", 2)
    True
    """
    digest = hash_prompt(prompt)
    if ONE_WORD_MARKER in prompt:
        return [("open", "shut")[digest % 2]][:max_tokens]
    words = [expected_token(digest, index) for index in range(max_tokens)]
    return words[:1] + [" " + word for word in words[1:]]


def expected_text(prompt: str, max_tokens: int) -> str:
    """Return the whole text of the answer.

    >>> expected_text("A2 closed at Wien; answer in one word", 16)
    'shut'
    """
    return "".join(expected_tokens(prompt, max_tokens))


def read_prompt(body: dict[str, Any]) -> str:
    """Return the prompt of a body: its `prompt`, or its messages, one per line.

    >>> read_prompt({"messages": [{"role": "user", "content": "Free hours?"}]})
    'Free hours?'
    """
    if "messages" in body:
        return "\n".join(_read_content(one["content"]) for one in body["messages"])
    prompt = body["prompt"]
    if not isinstance(prompt, str):
        raise ValueError("prompt must be one string")
    return prompt


def count_tokens(prompt: str) -> int:
    """Return the number of tokens of a prompt, at four characters per token."""
    return max(1, len(prompt) // CHARACTERS_PER_TOKEN)


def _read_content(content: Any) -> str:
    if isinstance(content, str):
        return content
    return "".join(part.get("text", "") for part in content)
