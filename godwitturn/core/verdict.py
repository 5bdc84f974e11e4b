"""Whether a request may have run, and why it was refused."""

import enum


class Verdict(enum.IntEnum):
    """Whether a request ran, as far as can be determined."""

    RAN = 1
    NOT_RUN = 2
    MAY_HAVE_RUN = 3


class Reason(enum.IntEnum):
    """Why a packet, flow or request was refused; sent in the header."""

    NONE = 0
    CONNECTION_LIMIT = 1
    QUEUE_FULL = 2
    DEADLINE = 3
    DRAINING = 4
    SLOW_START = 5
    DATA_CENTRE_OUT = 6
    NOT_APPROVED = 7
    NO_TARGET = 8
    FENCED = 9
    FLOW_UNKNOWN = 10
    TOKEN_INVALID = 11
    STALE_INCARNATION = 12
    TARGET_FAILED = 13
    CANCELLED = 14
    SHED = 15
    TOO_LARGE = 16
    WRONG_SERVICE = 17
    REQUEST_TOO_OLD = 18
    STOPPING = 19
