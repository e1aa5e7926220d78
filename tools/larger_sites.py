"""Larger deployments, made from a site file of the users' bench: half as many machines and half as
much work again, and processes that are back a moment after they end. Nothing of the site file is
kept; the result is written where the caller says."""

import re

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


def grown(text):
    value = float(text) * MORE
    return str(round(value)) if re.fullmatch(r"\d+", text) else repr(round(value, 6))


def larger(text):
    """The text of the larger site, and its name. Raises ValueError if nothing is there to grow."""
    out, section, name, changes = [], "", None, 0
    for line in text.splitlines():
        head = SECTION.match(line)
        if head:
            section = head[1]
        field = FIELD.match(line)
        if field and not head:
            indent, key, equals, value = field.groups()
            if section == "" and key == "name":
                name = value.strip().strip('"') + "-larger"
                value = f'"{name}"'
            elif section == "nodes" and key == "restart_delay_s":
                value = repr(RESTART_DELAY_S)
                changes += 1
            elif key in GROWS.get(section, ()):
                value = grown(value.strip())
                changes += 1
            elif section == "jobs" and key == "arrivals":
                value, rates = re.subn(r"(rate\s*=\s*)([0-9.]+)",
                                       lambda found: found[1] + grown(found[2]), value)
                changes += rates
            line = f"{indent}{key}{equals}{value}"
        out.append(line)
    if name is None or changes == 0:
        raise ValueError("this is no site file")
    return "\n".join(out) + "\n", name
