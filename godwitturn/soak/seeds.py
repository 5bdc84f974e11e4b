"""Seeds that have failed before, with the cause of the failure."""

# Duration of the load with which each of these seeds runs.
DURATION_S = 40.0
_LATE_ACCEPTANCE = (
    "a suspended agent resumed and accepted an opening that another target "
    "had accepted meanwhile; balancers moved the flow to it"
)
CAUSE_BY_SEED = {
    11: _LATE_ACCEPTANCE,
    12: _LATE_ACCEPTANCE,
    16: _LATE_ACCEPTANCE,
    22: _LATE_ACCEPTANCE,
}
