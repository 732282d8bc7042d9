"""Tickets: single-use idempotency keys whose issuing process alone decides who may spend them.

A ticket needs no agreement through the platform's log: the process that issued it decides alone who
runs the call, so a ticket works while the data centre is cut off. After that process has ended,
nobody can spend the ticket any more.
"""

import hashlib
import hmac
from enum import Enum
from typing import Final

from attrs import define, frozen

# Time for which a ticket can be spent.
TICKET_LIFETIME_S: Final = 600.0
_TICKET_PREFIX: Final = "ticket"
_SEPARATOR: Final = "~"
_PART_COUNT: Final = 6
_MAC_BYTES: Final = 12
_MILLISECONDS_PER_SECOND: Final = 1000.0


class TicketOutcome(Enum):
    """Outcome of a request to spend a ticket."""

    # The requesting host may run the call, and nobody else may.
    GRANTED = "passed"
    # The call may have run, or is running.
    SPENT = "spent"
    # The complete answer was delivered.
    COMPLETED = "completed"
    # The call was not run, and the ticket is void, so that it never will be.
    VOID = "void"
    # The ticket was spent for a request with different content.
    CONTENT_MISMATCH = "other-content"
    # The ticket has expired; whether its call ran is no longer known.
    EXPIRED = "expired"
    # The process that issued the ticket has ended.
    ISSUER_GONE = "issuer-gone"
    # The ticket was not issued to this tenant, or is forged.
    INVALID = "invalid"


@frozen
class Ticket:
    """Parsed, unverified content of a ticket."""

    # Host that issued it.
    host: str
    # Incarnation of the process that issued it.
    incarnation: str
    # Monotonic time of issue, on the issuer's clock.
    issued_ms: int
    # Number of the ticket within the incarnation.
    serial: int
    # Message authentication code by which the issuer recognises its ticket for the tenant.
    mac: str


@define
class TicketIssuer:
    """Issues the tickets of one process and validates them."""

    # Host of the process.
    host: str
    # Incarnation of the process.
    incarnation: str
    # Random bytes that no other process knows.
    secret: bytes
    # Number of tickets issued.
    issued_count: int = 0

    def issue(self, tenant: str, now_s: float) -> str:
        """Returns a new ticket for the tenant."""
        self.issued_count += 1
        issued_ms = int(now_s * _MILLISECONDS_PER_SECOND)
        mac = self._mac(tenant, issued_ms, self.issued_count)
        parts = (
            _TICKET_PREFIX,
            self.host,
            self.incarnation,
            str(issued_ms),
            str(self.issued_count),
            mac,
        )
        return _SEPARATOR.join(parts)

    def validate(self, ticket: Ticket, tenant: str, now_s: float) -> TicketOutcome | None:
        """Returns why the ticket cannot be spent, or None if it is valid."""
        if ticket.incarnation != self.incarnation:
            return TicketOutcome.ISSUER_GONE
        expected = self._mac(tenant, ticket.issued_ms, ticket.serial)
        if not hmac.compare_digest(expected, ticket.mac):
            return TicketOutcome.INVALID
        if now_s >= ticket_expiry_s(ticket):
            return TicketOutcome.EXPIRED
        return None

    def _mac(self, tenant: str, issued_ms: int, serial: int) -> str:
        text = f"{tenant}\0{issued_ms}\0{serial}".encode()
        return hmac.new(self.secret, text, hashlib.blake2b).hexdigest()[: 2 * _MAC_BYTES]


def ticket_expiry_s(ticket: Ticket) -> float:
    """Returns when the ticket expires, on the issuer's clock."""
    return ticket.issued_ms / _MILLISECONDS_PER_SECOND + TICKET_LIFETIME_S


def parse_ticket(key: str) -> Ticket | None:
    """Parses a key that has the form of a ticket; returns None for any other key."""
    parts = key.split(_SEPARATOR)
    if len(parts) != _PART_COUNT or parts[0] != _TICKET_PREFIX:
        return None
    _, host, incarnation, issued_ms, serial, mac = parts
    if not (issued_ms.isdecimal() and serial.isdecimal() and mac.isascii()):
        return None
    return Ticket(host, incarnation, int(issued_ms), int(serial), mac)
