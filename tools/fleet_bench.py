"""The users' bench as the tools call it: where it is, how a day is played, and the forms of site
files that days of our own are played on."""

import concurrent.futures
import json
import os
import pathlib
import shutil
import subprocess
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent


class CannotRun(Exception):
    """The bench or its sites are not there, or the bench did not write what it should."""


def load(path: pathlib.Path) -> dict:
    """The settings of tools/regress.toml."""
    with open(path, "rb") as file:
        data = tomllib.load(file)
    for need in ("bench", "groups"):
        if need not in data:
            raise CannotRun(f"{path}: {need} is missing")
    return data


def find_bench(data: dict) -> tuple[str, pathlib.Path]:
    """The bench's program and the kit that it lies in."""
    kit = pathlib.Path(os.environ.get("BENDSPINDLE_KIT", ROOT.parent / "given" / "kit"))
    bench = pathlib.Path(os.environ.get("BENDSPINDLE_BENCH", kit / data["bench"]))
    if not os.access(bench, os.X_OK):
        raise CannotRun(f"there is no bench at {bench}; set BENDSPINDLE_BENCH or BENDSPINDLE_KIT")
    return str(bench), kit


def build(bench: str) -> None:
    """Builds the service once, before several days are played at the same time."""
    subprocess.run([bench, "build"], cwd=ROOT, check=False)


def call(bench: str, arguments: list[str], log: pathlib.Path | None = None) -> None:
    """One call of the bench; its exit code says no more than the entries and reports that it writes."""
    if log is None:
        subprocess.run([bench, *arguments], cwd=ROOT, check=False)
        return
    with open(log, "wb") as out:
        subprocess.run([bench, *arguments], cwd=ROOT, check=False, stdout=out,
                       stderr=subprocess.STDOUT)


def play(calls: list[list[str]], bench: str, journal: pathlib.Path, at_once: int = 1) -> list[dict]:
    """Runs the bench and returns the entries that it wrote."""
    before = {path.name for path in journal.glob("*.json")}
    with concurrent.futures.ThreadPoolExecutor(at_once) as pool:
        # A broken day must not hide the others.
        list(pool.map(lambda arguments: call(bench, arguments), calls))
    new = [json.loads(path.read_text()) for path in journal.glob("*.json")
           if path.name not in before]
    if not new:
        raise CannotRun(f"{bench} wrote no entry to {journal}")
    return sorted(new, key=lambda entry: entry["at"][0])


def write_site(source: pathlib.Path, text: str, name: str, folder: pathlib.Path) -> pathlib.Path:
    """Writes a form of a site file to a folder, with the description of the protocol that it names."""
    site = folder / f"{name}.toml"
    site.write_text(text)
    wire = source.parent / "wire.json"
    if wire.exists():
        shutil.copy(wire, folder)
    return site
