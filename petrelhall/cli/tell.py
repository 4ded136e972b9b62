"""What all sub-commands share: words for people or JSON for machines, and structured logs on standard error."""

from __future__ import annotations

import json
import sys
from typing import Any

import structlog
from rich.console import Console

OUT = Console(highlight=False)


def log() -> Any:
    """Give a logger: lines for a person at a terminal, JSON lines elsewhere."""
    person = sys.stderr.isatty()
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.dev.ConsoleRenderer() if person else structlog.processors.JSONRenderer(),
        ],
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
    )
    return structlog.get_logger()


def as_json(value: Any) -> None:
    """Print a value for machines."""
    print(json.dumps(value, indent=2))
