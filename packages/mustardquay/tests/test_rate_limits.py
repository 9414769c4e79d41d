from datetime import timedelta

from mustardquay.rate_limits import LimitBook, LimitChange


def at(seconds):
    return timedelta(seconds=seconds)


def test_a_limit_holds_until_answers_stop_naming_it():
    book = LimitBook()
    assert book.hear("e", 10.0, at(0)) == LimitChange(None, 10.0)
    assert book.hear("e", 10.5, at(1)) is None
    assert book.hear("e", 5.0, at(2)) == LimitChange(10.5, 5.0)
    assert book.hear("e", None, at(3)) == LimitChange(5.0, None)
    assert book.get("e", at(3)) is None


def test_an_answer_that_was_overtaken_does_not_end_a_limit():
    """Guards against a limit that is lost as it is first named."""
    book = LimitBook()
    book.hear("e", 10.0, at(0))
    assert book.hear("e", None, at(0.1)) is None
    assert book.get("e", at(0.2)) == 10.0


def test_a_limit_that_no_answer_names_again_lapses():
    """Guards against an upstream that gets too little for ever."""
    book = LimitBook()
    book.hear("e", 10.0, at(0))
    assert book.get("e", at(9.9)) == 10.0
    assert book.get("e", at(10.1)) is None
