"""Names that leave the process (`outside_names.txt`) still stand in the source.

Guards against a rename that changes a wire format, a configuration file, a log line or a metric unnoticed.
"""

import ast
import gc
import re
from pathlib import Path

ROOT = Path(__file__).parent.parent
NAMES = [
    name
    for line in (Path(__file__).parent / "outside_names.txt").read_text().splitlines()
    if (name := line.split("#")[0].strip())
]
DOCUMENTED = ast.Module | ast.ClassDef | ast.FunctionDef | ast.AsyncFunctionDef


def docstrings(tree):
    """The constants that are documentation."""
    for node in ast.walk(tree):
        if isinstance(node, DOCUMENTED) and node.body and isinstance(node.body[0], ast.Expr):
            yield node.body[0].value


def written_out(tree):
    """String constants, names of keyword arguments (log keys) and of fields (stored under their own name)."""
    documentation = set(docstrings(tree))
    for node in ast.walk(tree):
        if isinstance(node, ast.Constant) and node not in documentation:
            if isinstance(node.value, bytes):
                yield node.value.decode("latin-1")
            elif isinstance(node.value, str):
                yield node.value
        elif isinstance(node, ast.keyword) and node.arg:
            yield node.arg
        elif isinstance(node, ast.AnnAssign) and isinstance(node.target, ast.Name):
            yield node.target.id


def test_each_name_still_stands_in_the_source():
    gc.collect()  # Python 3.11 cannot run a finalizer that parses while it builds a tree
    trees = (ast.parse(path.read_text()) for path in (ROOT / "bellrack").rglob("*.py"))
    source = "\n".join(text for tree in trees for text in written_out(tree))
    gone = [name for name in NAMES if not re.search(rf"(?<!\w){re.escape(name)}(?!\w)", source)]
    assert not gone


def test_each_name_is_listed_once():
    assert len(NAMES) == len(set(NAMES)) > 0
