"""Limits of the decision module, the README's example, and the page of the quota path's constants."""

import ast
import re
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
QUOTA_MODULES: dict[str, set[str] | None] = {  # with the constants that quotas use, None for all of them
    "coralvale/restrictor.py": None,
    "coralvale/shared_quota.py": None,
    "coralvale/shared_bucket.py": None,
    "coralvale/admission.py": None,
    "coralvale/customers.py": None,
    "coralvale/logic.py": {"QUOTA_RETRY_AFTER_FRACTION", "TIMER_INTERVAL_S"},
}


def test_the_module_keeps_its_limits() -> None:
    for name in tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["policy"]:
        lines = (ROOT / name).read_text().splitlines()
        assert any(line.strip() for line in lines)
        assert max(map(len, lines)) <= 110


def test_the_example_in_the_readme_runs() -> None:
    (example,) = re.findall(r"```python\n(.*?)```", (ROOT / "README.md").read_text(), re.DOTALL)
    assert "assert" in example
    exec(compile(example, "README.md", "exec"), {})


def assigned_constants(path: Path) -> dict[str, str]:
    """The module's upper-case names with the source text of their values."""
    constants = dict[str, str]()
    for statement in ast.parse(path.read_text()).body:
        if isinstance(statement, ast.AnnAssign) and statement.value:
            pairs = [(statement.target, statement.value)]
        elif isinstance(statement, ast.Assign):
            pairs = [(target, statement.value) for target in statement.targets]
        else:
            continue
        for target, value in pairs:
            tuples = isinstance(target, ast.Tuple) and isinstance(value, ast.Tuple)
            split = zip(target.elts, value.elts, strict=True) if tuples else [(target, value)]
            constants |= {ast.unparse(name): ast.unparse(text) for name, text in split}
    return {name: text for name, text in constants.items() if name.isupper()}


def test_the_page_of_quota_constants_names_each_with_its_value() -> None:
    page = (ROOT / "docs/QUOTA-CONSTANTS.md").read_text()
    sections = dict(
        re.findall(r"^## `(coralvale/\w+\.py)`\n(.*?)(?=^## |\Z)", page, re.DOTALL | re.MULTILINE)
    )
    assert sections.keys() == QUOTA_MODULES.keys()
    for name, section in sections.items():
        constants, used = assigned_constants(ROOT / name), QUOTA_MODULES[name]
        expected = {n: text for n, text in constants.items() if used is None or n in used}
        assert used is None or expected.keys() == used
        assert dict(re.findall(r"^\| `(\w+)` \| `([^`]+)`", section, re.MULTILINE)) == expected, name
