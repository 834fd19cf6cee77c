"""Guards against a documentation page of result codes that differs from the code."""

from pathlib import Path

from corkcrank.cli.operator import format_codes
from corkcrank.contracts.result_codes import Ran, ResultCode

PAGE = Path(__file__).parent.parent / "docs" / "RESULT-CODES.md"


def test_page_contains_the_current_table() -> None:
    assert format_codes() in PAGE.read_text(encoding="utf-8")


def test_numbers_are_unique_and_refused_calls_did_not_run() -> None:
    numbers = [code.number for code in ResultCode]
    assert len(set(numbers)) == len(numbers)
    unknown_outcome = {ResultCode.CLAIM_STORE_UNAVAILABLE}
    for code in ResultCode:
        if code.number // 1000 == 3 and code not in unknown_outcome:
            assert code.ran == Ran.NO
