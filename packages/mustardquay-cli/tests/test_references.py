from pathlib import Path

from mustardquay_cli.references import render_settings

PAGE = Path(__file__).parents[3] / "docs" / "settings.md"


def test_the_page_of_settings_is_up_to_date():
    remedy = "run python -m mustardquay_cli.references docs/settings.md"
    assert PAGE.read_text(encoding="utf-8") == render_settings(), remedy
