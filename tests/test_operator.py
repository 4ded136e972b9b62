"""The operators' file and the sub-commands round it."""

from __future__ import annotations

import json
import os
import subprocess
import sys
import tempfile
import unittest

from click.testing import CliRunner

from petrelhall.cli.main import main
from petrelhall.operator.file import MOST_BYTES, OperatorError, differences, parse, read, schema
from petrelhall.operator.settings import Cold, File, Links

BAD = {
    "": "not JSON",
    "[]": "the file: [] cannot be used",
    '{"lnks": {}}': "lnks: unknown; did you mean 'links'?",
    '{"links": {"pre_box": 3}}': "links.pre_box: unknown; did you mean 'per_box'?",
    '{"links": {"zzzz": 3}}': "links.zzzz: unknown; known here: ahead, cold,",
    '{"links": {"stale": {"tolernace": 3}}}': "links.stale.tolernace: unknown; did you mean 'tolerance'?",
    '{"links": {"per_box": 0}}': "links.per_box: 0 cannot be used",
    '{"links": {"per_box": 1.5}}': "links.per_box: 1.5 cannot be used",
    '{"links": {"per_box": "many"}}': 'links.per_box: "many" cannot be used',
    '{"links": {"wait_ms": -1}}': "links.wait_ms: -1 cannot be used",
    '{"links": {"reuse": "newest"}}': 'links.reuse: "newest" cannot be used: invalid enum value',
    '{"links": {"cold": {"per_s": null}}}': "links.cold.per_s: null cannot be used",
    '{"links": {"per_box": 1}}': "links.cold.at_once: 2 is above links.per_box, 1",
    '{"links": {"ahead": 64}}': "links.ahead: 64 spares leave no room",
    '{"links": {"total": 10}}': "links.total: 10 is below links.per_box, 64",
    '{"links": {"stale": {"idle_ms": 500}}}': "links.stale.proven_ms: 1000 is above links.stale.idle_ms, 500",
}


class Reading(unittest.TestCase):
    """What is taken and what is not."""

    def test_each_bad_file_is_refused_with_the_field_the_value_and_the_reason(self) -> None:
        for content, reason in BAD.items():
            with self.subTest(content=content), self.assertRaises(OperatorError) as caught:
                parse(content.encode())
            self.assertTrue(str(caught.exception).startswith(reason), str(caught.exception))
            self.assertNotIn("\n", str(caught.exception))

    def test_what_is_absent_has_its_default(self) -> None:
        self.assertEqual(parse(b"{}"), File())
        self.assertEqual(parse(b'{"links":{"cold":{"per_s":3}}}'), File(Links(cold=Cold(per_s=3.0))))

    def test_a_file_that_is_not_there_or_too_large_is_named(self) -> None:
        with self.assertRaisesRegex(OperatorError, "/nowhere/x: cannot read: No such file"):
            read("/nowhere/x")
        with tempfile.NamedTemporaryFile() as file:
            file.write(b" " * (MOST_BYTES + 1))
            file.flush()
            with self.assertRaisesRegex(OperatorError, "larger than"):
                read(file.name)

    def test_what_a_reload_changes_is_named_with_both_values(self) -> None:
        new = parse(b'{"links":{"per_box":9,"cold":{"at_once":1}}}')
        self.assertEqual(differences(File(), new), ["links.per_box 64 -> 9", "links.cold.at_once 2 -> 1"])
        self.assertEqual(differences(new, new), [])


class Commands(unittest.TestCase):
    """The sub-commands, by their exit codes."""

    def run_with(self, *arguments: str) -> tuple[int, str]:
        result = CliRunner().invoke(main, arguments)
        return result.exit_code, result.output

    def test_check_tells_a_good_file_from_a_bad_one_and_from_none(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            good, bad = os.path.join(folder, "good.json"), os.path.join(folder, "bad.json")
            with open(good, "w") as file:
                file.write('{"links": {"per_box": 9}}')
            with open(bad, "w") as file:
                file.write('{"links": {"per_box": 0}}')
            code, output = self.run_with("check", good)
            self.assertEqual((code, "links.per_box 64 -> 9" in output), (0, True))
            code, output = self.run_with("check", bad, "--json")
            self.assertEqual((code, json.loads(output)["usable"]), (1, False))
            self.assertEqual(self.run_with("check", os.path.join(folder, "none"))[0], 2)

    def test_the_schema_is_held_against_a_file(self) -> None:
        with tempfile.NamedTemporaryFile() as file:
            file.write(schema())
            file.flush()
            self.assertEqual(self.run_with("schema", "--check", file.name)[0], 0)
            file.write(b" ")
            file.flush()
            self.assertEqual(self.run_with("schema", "--check", file.name)[0], 1)
        self.assertIn("per_box", json.dumps(json.loads(schema())))

    def test_every_sub_command_has_help_with_an_example(self) -> None:
        for name in main.commands:
            with self.subTest(name=name):
                code, output = self.run_with(name, "--help")
                self.assertEqual(code, 0)
                self.assertIn("Example: petrelhall", output)

    def test_a_gateway_loads_nothing_of_the_tools(self) -> None:
        code = (
            "import sys, petrelhall.__main__; bad = {'click', 'rich', 'structlog', 'asyncio', 'petrelhall.cli',"
            " 'petrelhall.standins'} & set(sys.modules); sys.exit(repr(bad) if bad else 0)"
        )
        done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, timeout=30)
        self.assertEqual((done.returncode, done.stderr), (0, ""))

    def test_a_short_run_with_faults_gives_every_request_one_answer_and_breaks_no_rule(self) -> None:
        code, output = self.run_with("demo", "--seconds", "4", "--rate", "80", "--boxes", "4", "--json")
        report = json.loads(output[output.index("{\n") :])
        self.assertEqual((code, report["wrong"]), (0, []))
        self.assertEqual(report["final_answers"], report["requests"])
        self.assertGreater(report["served"], 200)
