"""Tests of history records and of the checks of histories."""

import pathlib
import tempfile
import unittest

import hypothesis
from hypothesis import strategies

from godwitturn.core import session_events
from godwitturn.core import verdict as verdicts
from godwitturn.standins import history
from godwitturn.standins import history_checks

RAN = verdicts.Verdict.RAN
NOT_RUN = verdicts.Verdict.NOT_RUN
MAY_HAVE_RUN = verdicts.Verdict.MAY_HAVE_RUN
FlowEnd = session_events.FlowEnd
Rule = history_checks.Rule

RECORDS: list[history.Record] = [
    history.FlowOpened(1, 7, 11, 0.5),
    history.RequestSent("a", 7, False, 1.0),
    history.FlowServed(1, 7, 11, 1.1),
    history.RunStarted("a", 7, 11, "east", 1.2),
    history.RunFinished("a", 11, "d1", 1.3),
    history.RequestEnded("a", RAN, "NONE", "d1", 1, 1.4),
    history.RequestSent("b", 7, False, 2.0),
    history.RequestEnded("b", NOT_RUN, "QUEUE_FULL", "", 3, 2.5),
    history.FlowEnded(1, FlowEnd.MOVED, "NONE", 3.0),
    history.DrainStarted(11, 3.0),
    history.DrainEnded(11, 9.0),
    history.DataCentreOut("east", 10.0),
    history.DataCentreBack("east", 20.0),
]


def violated_rules(*added: history.Record) -> list[Rule]:
    violations = history_checks.check(
        RECORDS + list(added), data_centre_bound_s=3.0, drain_bound_s=4.0
    )
    return [violation.rule for violation in violations]


class TestRecords(unittest.TestCase):
    """A record that changes when it is encoded could hide a violation."""

    def test_encoded_records_are_decoded(self) -> None:
        for record in RECORDS:
            line = history.encode(record)
            self.assertEqual(1, line.count(b"\n"))
            self.assertEqual(record, history.decode(line))

    @hypothesis.given(strategies.text(), strategies.integers(0, (1 << 64) - 1))
    def test_any_text_and_flow_id_are_decoded(
        self, text: str, flow_id: int
    ) -> None:
        sent = history.RequestSent(text, 7, True, 0.1)
        ended = history.FlowEnded(flow_id, FlowEnd.BROKEN, text, 0.1)
        self.assertEqual(sent, history.decode(history.encode(sent)))
        self.assertEqual(ended, history.decode(history.encode(ended)))

    def test_flow_actions_are_recorded(self) -> None:
        opened = session_events.FlowOpened(1, 11)
        ended = session_events.FlowEnded(
            1, FlowEnd.BROKEN, verdicts.Reason.FLOW_UNKNOWN
        )
        other = session_events.SendDatagram(b"")
        self.assertEqual(
            [
                history.FlowOpened(1, 7, 11, 0.5),
                history.FlowEnded(1, FlowEnd.BROKEN, "FLOW_UNKNOWN", 0.5),
                None,
            ],
            [
                history.record_of(action, service_id=7, at_s=0.5)
                for action in (opened, ended, other)
            ],
        )

    def test_records_in_several_files_are_decoded(self) -> None:
        with tempfile.TemporaryDirectory() as name:
            paths = [pathlib.Path(name) / str(i) for i in range(3)]
            for index, path in enumerate(paths):
                lines = map(history.encode, RECORDS[index::3])
                path.write_bytes(b"".join(lines))
            read = [
                record
                for path in paths
                for record in history.decode_lines(path.open("rb"))
            ]
        self.assertCountEqual(RECORDS, read)

    def test_truncated_last_line_is_skipped(self) -> None:
        lines = [history.encode(RECORDS[0]), history.encode(RECORDS[1])[:-1]]
        self.assertEqual(RECORDS[:1], history.decode_lines(lines))

    def test_unknown_record_is_an_error(self) -> None:
        with self.assertRaisesRegex(ValueError, "'Nothing' is unknown"):
            history.decode(b'["Nothing",{}]\n')

    def test_key_is_decoded_from_the_body(self) -> None:
        body = history.body_with_key("caller-1/5", b"x\ny")
        self.assertEqual("caller-1/5", history.key_of(body))


class TestChecks(unittest.TestCase):
    """Each check must report violations of its rule, and of no other rule."""

    def test_correct_history_has_no_violations(self) -> None:
        self.assertEqual([], violated_rules())

    def test_request_without_outcome_is_reported(self) -> None:
        sent = history.RequestSent("c", 7, True, 1.0)
        self.assertEqual([Rule.ONE_OUTCOME], violated_rules(sent))

    def test_request_with_two_outcomes_is_reported(self) -> None:
        ended = history.RequestEnded("b", MAY_HAVE_RUN, "NONE", "", 1, 3.0)
        self.assertEqual([Rule.ONE_OUTCOME], violated_rules(ended))

    def test_second_run_is_reported(self) -> None:
        run = history.RunStarted("a", 7, 12, "west", 1.2)
        self.assertEqual([Rule.AT_MOST_ONCE], violated_rules(run))

    def test_idempotent_request_may_run_twice(self) -> None:
        added: list[history.Record] = [
            history.RequestSent("c", 7, True, 1.0),
            history.RunStarted("c", 7, 12, "west", 1.2),
            history.RunStarted("c", 7, 12, "west", 1.2),
            history.RequestEnded("c", MAY_HAVE_RUN, "DEADLINE", "", 1, 3.0),
        ]
        self.assertEqual([], violated_rules(*added))

    def test_run_of_a_refused_request_is_reported(self) -> None:
        run = history.RunStarted("b", 7, 12, "west", 2.7)
        self.assertEqual([Rule.TRUE_REFUSAL], violated_rules(run))

    def test_answer_of_another_request_is_reported(self) -> None:
        added: list[history.Record] = [
            history.RequestSent("c", 7, True, 1.0),
            history.RunStarted("c", 7, 12, "west", 1.2),
            history.RunFinished("c", 12, "d2", 1.2),
            history.RequestEnded("c", RAN, "NONE", "d1", 1, 3.0),
        ]
        self.assertEqual([Rule.WHOLE_ANSWER], violated_rules(*added))

    def test_answer_without_run_is_reported(self) -> None:
        added: list[history.Record] = [
            history.RequestSent("c", 7, True, 1.0),
            history.RequestEnded("c", RAN, "NONE", "d1", 1, 3.0),
        ]
        self.assertEqual([Rule.WHOLE_ANSWER], violated_rules(*added))

    def test_flow_served_by_second_target_is_reported(self) -> None:
        served = history.FlowServed(1, 7, 12, 1.1)
        self.assertEqual([Rule.ONE_TARGET], violated_rules(served))

    def test_request_at_other_service_is_reported(self) -> None:
        added: list[history.Record] = [
            history.RequestSent("c", 7, True, 1.0),
            history.RunStarted("c", 8, 21, "west", 1.2),
            history.RequestEnded("c", MAY_HAVE_RUN, "DEADLINE", "", 1, 3.0),
        ]
        self.assertEqual([Rule.OWN_SERVICE], violated_rules(*added))

    def test_flow_at_other_service_is_reported(self) -> None:
        served = history.FlowServed(1, 8, 11, 1.1)
        self.assertEqual([Rule.OWN_SERVICE], violated_rules(served))

    def test_run_in_data_centre_that_is_out_is_reported(self) -> None:
        for at_s, expected_rules in [
            (9.9, []),
            (12.9, []),
            (13.1, [Rule.DATA_CENTRE_OUT]),
            (19.9, [Rule.DATA_CENTRE_OUT]),
            (20.1, []),
        ]:
            run = history.RunStarted("idle", 7, 12, "east", at_s)
            self.assertEqual(expected_rules, violated_rules(run), at_s)

    def test_run_at_draining_target_is_reported(self) -> None:
        for at_s, expected_rules in [
            (6.9, []),
            (7.1, [Rule.DRAINING]),
            (9.1, []),
        ]:
            run = history.RunStarted("idle", 7, 11, "west", at_s)
            self.assertEqual(expected_rules, violated_rules(run), at_s)

    def test_run_in_drain_without_end_is_reported(self) -> None:
        drain = history.DrainStarted(12, 30.0)
        run = history.RunStarted("idle", 7, 12, "west", 99.0)
        self.assertEqual([Rule.DRAINING], violated_rules(drain, run))


class TestFlowCounts(unittest.TestCase):
    """Counts must not include flows that no target accepted."""

    def test_only_opened_flows_are_counted(self) -> None:
        added: list[history.Record] = [
            history.FlowOpened(2, 7, 11, 0.5),
            history.FlowEnded(2, FlowEnd.BROKEN, "FLOW_UNKNOWN", 1.0),
            # No target accepted this flow.
            history.FlowEnded(3, FlowEnd.CLOSED, "NONE", 1.0),
        ]
        counts = history_checks.count_flow_ends(RECORDS + added)
        self.assertEqual(1, counts[FlowEnd.BROKEN])
        self.assertEqual(1, counts[FlowEnd.MOVED])
        self.assertEqual(0, counts[FlowEnd.CLOSED])
