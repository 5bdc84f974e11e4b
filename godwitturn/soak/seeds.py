"""Seeds that have failed, with what caused it; all last `SECONDS`."""

SECONDS = 40.0
_LATE_TAKER = (
    "a suspended agent woke and took an opening that another target had taken "
    "meanwhile; balancers moved the flow there"
)
CAUSE_BY_SEED = {
    11: _LATE_TAKER,
    12: _LATE_TAKER,
    16: _LATE_TAKER,
    22: _LATE_TAKER,
}
