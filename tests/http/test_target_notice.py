"""What a response says of its target, for values that targets should not send."""

import pytest

from cactusvane.http.message import Response
from cactusvane.http.rate_limit import NoRateLimit
from cactusvane.http.target_notice import MAX_PAUSE_MS, TargetNotice, read_notice
from cactusvane.http.vocabulary import HeaderNames

NAMES = HeaderNames(leaving=b"server-leaving")


def read(status: int, *fields: tuple[bytes, bytes]) -> TargetNotice:
    return read_notice(Response(status, list(fields)), NAMES)


@pytest.mark.parametrize(
    ("values", "pause_ms", "odd"),
    [
        ([b"2"], 2_000.0, 0),
        ([b" 0.25 "], 250.0, 0),
        ([b"0"], 0.0, 0),
        ([b"1", b"3"], 3_000.0, 0),
        ([b"1", b"x"], 1_000.0, 1),
        ([b"999999999"], MAX_PAUSE_MS, 0),
        ([b""], None, 1),
        ([b"-1"], None, 1),
        ([b"nan"], None, 1),
        ([b"inf"], None, 1),
        ([b"1e3"], None, 1),
        ([b"9" * 400], None, 1),
        ([b"Sat, 05 Dec 2026 02:00:00 GMT"], None, 1),
    ],
)
def test_pauses(values: list[bytes], pause_ms: float | None, odd: int) -> None:
    notice = read(503, *((b"retry-after", value) for value in values))
    assert notice.pause_ms == pause_ms
    assert len(notice.unusable) == odd


@pytest.mark.parametrize("status", [200, 429, 500, 504])
def test_only_a_503_asks_for_a_pause(status: int) -> None:
    assert read(status, (b"retry-after", b"9")) == TargetNotice(NoRateLimit())


@pytest.mark.parametrize(
    ("values", "leaving", "odd"),
    [
        ([b"1"], True, 0),
        ([b"0", b"1"], True, 1),
        ([b"0"], False, 1),
        ([b""], False, 1),
        ([b"true"], False, 1),
        ([b"1, 1"], False, 1),
    ],
)
@pytest.mark.parametrize("status", [200, 404, 503])
def test_any_response_may_say_that_its_target_leaves(
    values: list[bytes], leaving: bool, odd: int, status: int
) -> None:
    notice = read(status, *((b"server-leaving", value) for value in values))
    assert notice.leaving is leaving
    assert len(notice.unusable) == odd


def test_without_names_for_them_the_fields_mean_nothing() -> None:
    response = Response(503, [(b"server-leaving", b"1"), (b"retry-after", b"9")])
    assert read_notice(response, HeaderNames()) == TargetNotice(NoRateLimit())
