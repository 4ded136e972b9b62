"""The list of tests that are known to fail: it passes over just these, and over nothing else."""

from __future__ import annotations

import os
import shutil
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

TESTS = "def test_bad():\n    assert False\n\n\ndef test_good():\n    pass\n"


class KnownRed(unittest.TestCase):
    """Runs of pytest on a folder of their own, with this folder's conftest."""

    def play(self, known: str) -> tuple[int, str]:
        with tempfile.TemporaryDirectory() as folder:
            tests = Path(folder, "tests")
            tests.mkdir()
            shutil.copy(Path(__file__).with_name("conftest.py"), tests)
            (tests / "test_it.py").write_text(TESTS)
            Path(folder, "pytest.ini").write_text("[pytest]\n")
            Path(folder, "KNOWN-RED.txt").write_text(known)
            done = subprocess.run(
                [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", "tests"],
                cwd=folder,
                env=os.environ,
                capture_output=True,
                text=True,
                timeout=60,
            )
            return done.returncode, done.stdout + done.stderr

    def test_a_named_test_that_fails_is_passed_over_and_printed(self) -> None:
        code, said = self.play("tests/test_it.py::test_bad: a real fault, issue 1\n")
        self.assertEqual(code, 0, said)
        self.assertIn("1 passed, 1 xfailed", said)
        self.assertIn("known red: tests/test_it.py::test_bad: a real fault, issue 1", said)

    def test_one_that_passes_again_fails_until_its_line_is_out(self) -> None:
        both = "tests/test_it.py::test_bad: a real fault, issue 1\ntests/test_it.py::test_good: mended, issue 2\n"
        code, said = self.play(both)
        self.assertEqual(code, 1, said)
        self.assertIn("XPASS(strict)", said)

    def test_a_failure_that_is_not_named_fails(self) -> None:
        self.assertEqual(self.play("")[0], 1)

    def test_lines_that_name_no_test_have_no_cause_or_are_too_many_are_errors(self) -> None:
        for known, word in (
            ("tests/test_it.py::test_none: gone, issue 1\n", "no such test"),
            ("tests/test_other.py::test_bad: gone, issue 1\n", "no such test"),
            ("tests/test_it.py::test_bad\n", "a line is"),
            ("".join(f"tests/test_it.py::test_{n}: many, issue 1\n" for n in range(4)), "at most"),
            ("tests/test_it.py::test_bad: twice, issue 1\n" * 2, "each test once"),
        ):
            with self.subTest(known=known):
                code, said = self.play(known)
                self.assertEqual(code, 4, said)
                self.assertIn(word, said)


if __name__ == "__main__":
    unittest.main()
