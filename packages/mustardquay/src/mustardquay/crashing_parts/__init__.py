"""Parts of prompts that crash the engines which write answers on them.

Requests that are not alike share parts of their prompts. An engine that crashes ends
all answers that it writes, so each of their parts is a suspect. What tells a part that
crashes engines from others is that no start of an engine has written a whole answer on
it. Gateways merge what each of them saw, and come to the same decision.
"""

from .answered_parts import AnsweredParts
from .keys import compute_start_key, list_part_keys
from .part_books import PartBook
from .part_notices import NoticeSchedule
from .part_records import PartRecord
from .verdicts import MAX_STARTS, REFUSED_AFTER

__all__ = [
    "MAX_STARTS",
    "REFUSED_AFTER",
    "AnsweredParts",
    "NoticeSchedule",
    "PartBook",
    "PartRecord",
    "compute_start_key",
    "list_part_keys",
]
