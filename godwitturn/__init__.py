"""Godwitturn: a layer-4 load balancer for services shared by teams.

The public names are those in `__all__`; everything else may change between
releases. They are imported at first use, so that daemons don't load
the caller library.
"""

import importlib
from typing import Any

_MODULE_BY_NAME = {
    "Agent": "godwitturn.core.agent",
    "Balancer": "godwitturn.core.balancer",
    "ControlNode": "godwitturn.core.distribution",
    "Outcome": "godwitturn.core.session_events",
    "Reason": "godwitturn.core.verdict",
    "Session": "godwitturn.core.session",
    "Verdict": "godwitturn.core.verdict",
    "connect": "godwitturn.caller.client",
    "open_caller": "godwitturn.caller.client",
}

__all__ = [
    "Agent",
    "Balancer",
    "ControlNode",
    "Outcome",
    "Reason",
    "Session",
    "Verdict",
    "connect",
    "open_caller",
]


def __getattr__(name: str) -> Any:
    module = _MODULE_BY_NAME.get(name)
    if module is None:
        raise AttributeError(
            f"module 'godwitturn' has no attribute {name!r}; "
            f"public names: {', '.join(__all__)}"
        )
    return getattr(importlib.import_module(module), name)
