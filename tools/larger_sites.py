"""Other forms of a deployment, made from a site file of the users' bench: half as many machines and
half as much work again, processes that are back a moment after they end, machines that are up at once.
Nothing of the site file is kept; the result is written where the caller says."""

import re
from collections.abc import Iterator
from dataclasses import dataclass

MORE = 1.5
RESTART_DELAY_S = 0.2
SECTION = re.compile(r"^\s*\[+\s*([A-Za-z_]+)\s*\]+\s*$")
FIELD = re.compile(r"^(\s*)([A-Za-z_]+)(\s*=\s*)(.*)$")
# What grows in which section; whole numbers stay whole.
GROWS = {
    "capacity": {"count", "spot"},
    "machines": {"count"},
    "teams": {"cpus", "cpus_max", "gpus", "gpus_max"},
    "jobs": {"initial"},
}


@dataclass(frozen=True)
class Form:
    """What differs from the site file; a time of None stays as it is there."""
    larger: bool = False
    restart_delay_s: float | None = None
    boot_s: float | None = None

    def suffix(self) -> str:
        """What the name of the site gets, so that two forms have two names."""
        out = "-larger" if self.larger else ""
        if self.restart_delay_s is not None:
            out += f"-back-{self.restart_delay_s:g}"
        if self.boot_s is not None:
            out += f"-boot-{self.boot_s:g}"
        return out.replace(".", "_")

    def times(self) -> dict[tuple[str, str], float]:
        """The times that are set, by section and field."""
        wanted = {("nodes", "restart_delay_s"): self.restart_delay_s,
                  ("machine_types", "boot_s"): self.boot_s}
        return {where: value for where, value in wanted.items() if value is not None}


def grown(text: str) -> str:
    value = float(text) * MORE
    return str(round(value)) if re.fullmatch(r"\d+", text) else repr(round(value, 6))


def changed(section: str, key: str, value: str, form: Form) -> str | None:
    """The value of a field in this form; None where the form leaves it."""
    if (section, key) in form.times():
        return repr(form.times()[section, key])
    if not form.larger:
        return None
    if key in GROWS.get(section, ()):
        return grown(value.strip())
    if section == "jobs" and key == "arrivals":
        return re.sub(r"(rate\s*=\s*)([0-9.]+)", lambda found: found[1] + grown(found[2]), value)
    return None


def fields(text: str) -> Iterator[tuple[str, str, re.Match | None]]:
    """Each line with the section that it stands in, and its field if it has one."""
    section = ""
    for line in text.splitlines():
        head = SECTION.match(line)
        if head:
            section = head[1]
        yield section, line, None if head else FIELD.match(line)


def formed(text: str, form: Form, suffix: str) -> tuple[str, str]:
    """The text of the site in this form, and its name. Raises ValueError if nothing there fits."""
    out, name, changes = [], None, 0
    for section, line, field in fields(text):
        if field:
            indent, key, equals, value = field.groups()
            if section == "" and key == "name":
                name = value.strip().strip('"') + suffix
                value = f'"{name}"'
            else:
                now = changed(section, key, value, form)
                changes += now is not None
                value = value if now is None else now
            line = f"{indent}{key}{equals}{value}"
        out.append(line)
    if name is None or (changes == 0 and form != Form()):
        raise ValueError("this is no site file, or it has nothing that this form changes")
    return "\n".join(out) + "\n", name


def larger(text: str) -> tuple[str, str]:
    """The larger site whose processes are back at once, and its name. Raises ValueError if nothing
    is there to grow."""
    return formed(text, Form(larger=True, restart_delay_s=RESTART_DELAY_S), "-larger")
