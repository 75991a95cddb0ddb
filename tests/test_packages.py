"""The wheel contains every package of the source tree."""

import shutil
import subprocess
import sys
import zipfile
from pathlib import Path

ROOT = Path(__file__).parent.parent


def test_wheel_contains_all_modules_of_the_tree(tmp_path):
    """A package that pyproject.toml does not include would exist in a checkout only."""
    source = tmp_path / "source"
    source.mkdir()
    for name in ("pyproject.toml", "LICENSE"):
        shutil.copy(ROOT / name, source)
    shutil.copytree(ROOT / "bellrack", source / "bellrack", ignore=shutil.ignore_patterns("__pycache__"))
    build = [sys.executable, "-m", "pip", "wheel", "-q", "--no-deps", "-w", str(tmp_path), str(source)]
    subprocess.run(build, check=True, capture_output=True)
    (wheel,) = tmp_path.glob("*.whl")
    modules = {name for name in zipfile.ZipFile(wheel).namelist() if name.endswith(".py")}
    assert modules == {str(path.relative_to(ROOT)) for path in (ROOT / "bellrack").rglob("*.py")}
