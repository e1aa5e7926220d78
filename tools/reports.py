"""What a report of the users' bench (`run ... --report FILE`) says was served, by class and team.

A report tells of a team how many of its jobs were accepted and have started. What of a team was done
or came in time it does not tell; `started_in_log` gets the latter from our own log lines."""

import re

HALF = 0.5


def in_time(report, name):
    """The most lenient aim that says what share of a class came in time; None without one."""
    aims = [aim for aim in report["targets"] if aim.get("class") == name]
    for kind, bound in (("wait", "within_s"), ("finished", "within_s"), ("deadline", "times")):
        found = [aim for aim in aims if aim["kind"] == kind]
        if found:
            longest = max(found, key=lambda aim: aim.get(bound, 1.0))
            return longest["value"], f"{kind} {longest.get(bound, 1.0):g}"
    return None, "-"


def done_share(seen):
    """The part of a class that is done, of the jobs that their users did not call off. A job called off
    that was done all the same counts as done."""
    wanted = max(seen["done"], seen["accepted"] - seen.get("cancelled", 0))
    return seen["done"] / wanted if wanted else 1.0


def rows_of(report):
    for name, seen in report["classes"].items():
        jobs = seen["accepted"]
        if not jobs:
            continue
        share, aim = in_time(report, name)
        yield {"class": name, "jobs": jobs, "started": seen["started"] / jobs,
               "done": done_share(seen), "in time": share, "aim": aim,
               "wait p50": seen["wait_s"]["p50"], "wait p90": seen["wait_s"]["p90"]}


def teams_of(report):
    for name, seen in report.get("teams", {}).items():
        if seen["jobs"]:
            yield {"team": name, "jobs": seen["jobs"], "started": seen["started"] / seen["jobs"]}


def starved(report):
    """Why the users would call the day failed, a line each: less than half of a class or team."""
    out = []
    for row in rows_of(report):
        if row["done"] < HALF:
            out.append(f"only {row['done']:.2f} of class {row['class']} done")
        if row["in time"] is not None and row["in time"] < HALF:
            out.append(f"only {row['in time']:.2f} of class {row['class']} in time ({row['aim']})")
    out += [f"only {row['started']:.2f} of team {row['team']} started"
            for row in teams_of(report) if row["started"] < HALF]
    return out


STARTED = re.compile(r"^\s*(?P<at>[0-9.]+) \S+ \S+ debug job_started job=(?P<job>\S+) "
                     r"class=(?P<class>\S+) team=(?P<team>\S+) tasks=\d+ total_s=(?P<wait>[0-9.]+)")


def longest_wait(report, name):
    found = [aim["within_s"] for aim in report["targets"]
             if aim["kind"] == "wait" and aim.get("class") == name]
    return max(found, default=None)


def loaded_part(report):
    """From the first trouble of the day to a minute after the last; all of it without troubles."""
    times = [event["at_s"] for event in report.get("events", [])]
    return (min(times), max(times) + 60) if times else (0, float("inf"))


def started_in_log(lines, report):
    """(kind, name, part of day) -> share started within the longest aim of its class, and of how
    many; of jobs whose start the log tells of, the first start each."""
    first, last = loaded_part(report)
    seen, counts = set(), {}
    for line in lines:
        found = STARTED.match(line)
        if not found or found["job"] in seen:
            continue
        seen.add(found["job"])
        aim = longest_wait(report, found["class"])
        if aim is None:
            continue
        wait = float(found["wait"])
        submitted = float(found["at"]) - wait
        parts = ["day"] + (["loaded"] if first <= submitted <= last else [])
        for part in parts:
            for key in (("class", found["class"], part), ("team", found["team"], part)):
                count = counts.setdefault(key, [0, 0])
                count[0] += wait <= aim
                count[1] += 1
    return {key: (met / of, of) for key, (met, of) in sorted(counts.items())}


def largest_starved(report):
    """Less than half of the largest jobs of a class have begun, a line each."""
    return [f"only {seen['started'] / seen['jobs']:.2f} of the largest of class {name} started"
            for name, seen in report.get("largest", {}).items()
            if seen["jobs"] and seen["started"] / seen["jobs"] < HALF]


def least_served(report):
    """The smallest share done of a class, or started of a team or of a class's largest jobs."""
    shares = [(row["done"], row["class"]) for row in rows_of(report)]
    shares += [(row["started"], row["team"]) for row in teams_of(report)]
    shares += [(seen["started"] / seen["jobs"], f"largest {name}")
               for name, seen in report.get("largest", {}).items() if seen["jobs"]]
    return min(shares, default=(1.0, "-"))


def ended_by_themselves(report):
    """How often controllers ended for another reason than a fault of the day."""
    return sum(restart["why"] != "fault" for node in report.get("node_stats", [])
               for restart in node["restarts"])


def against(report):
    """All that speaks against a day, a line each: broken rules, processes that ended by themselves,
    jobs left waiting beside room, and less than half served."""
    out = [f"rule broken: {rule} {count}"
           for rule, count in sorted(report["rules_broken"]["by_kind"].items()) if count]
    panics = sum(node["panics"] for node in report.get("node_stats", []))
    ended = ended_by_themselves(report)
    neglected = report.get("idle", {}).get("neglected", 0)
    out += [f"{panics} panics"] if panics else []
    out += [f"controllers ended by themselves {ended} times"] if ended else []
    out += [f"{neglected} jobs left waiting beside room"] if neglected else []
    return out + starved(report) + largest_starved(report)
