import re
from pathlib import Path

PAGE = Path(__file__).resolve().parent.parent / "docs/library.md"


def test_documented_example_runs(capsys):
    """Guards against a documented example that no longer runs."""
    (code,) = re.findall(r"```python\n(.*?)```", PAGE.read_text(), re.DOTALL)
    exec(compile(code, str(PAGE), "exec"), {})  # noqa: S102
    assert capsys.readouterr().out == "unknown_queue\n"
