"""Usage reports: count requests by organisation, and report each window once.

Each gateway counts the requests that upstreams begin for its callers, and sends the
counts to the others. One of them, which holds a lease, settles and sends the reports.
"""

from .begun_requests import may_have_begun, note_begun
from .duty_clients import DutyClient, DutyResult
from .exchanges import ExchangeDependencies, UsageExchange
from .frames import NOTICE_PREFIX
from .recorders import UsageRecorder
from .reporters import ReporterDependencies, UsageReporter
from .subsystems import UsageDependencies, UsageSubsystem
from .true_clocks import TrueClock

__all__ = [
    "NOTICE_PREFIX",
    "ExchangeDependencies",
    "DutyClient",
    "DutyResult",
    "ReporterDependencies",
    "TrueClock",
    "UsageDependencies",
    "UsageExchange",
    "UsageRecorder",
    "UsageReporter",
    "UsageSubsystem",
    "may_have_begun",
    "note_begun",
]
