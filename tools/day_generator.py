"""Days of troubles, drawn from a seed for one site of the users' bench.

A day is the same for the same site, theme and seed. A theme says which troubles meet; a trouble that
belongs to another one is pinned to it by its time (a leader ends 0.3 s after a cancellation). All are
over RECOVERY_S before the day ends, so that the rules about recovery are judged too."""

import dataclasses
import json
import pathlib
import random
import re
import tomllib
from collections.abc import Callable
from dataclasses import dataclass, field

RECOVERY_S = 120.0
FIRST_S = 60.0
SHORTEST_DAY_S = 300.0
SAFE_NAME = re.compile(r"[a-z0-9][a-z0-9-]*")
MODES = ("hold", "refuse", "reset")
# A zone and the workers are cut off in these ways only.
FAR_MODES = ("hold", "reset")

Value = float | int | bool | str


class WrongSite(Exception):
    """A site file cannot be read, or lacks what a day needs."""


@dataclass(frozen=True)
class Site:
    """What a day has to know of its site."""
    name: str
    nodes: int
    zones: tuple[str, ...]
    restart_delay_s: float
    lease_s: float
    cancel_s: float
    arrays: tuple[str, ...]
    gangs: tuple[str, ...]

    @property
    def classes(self) -> tuple[str, ...]:
        return self.arrays + self.gangs


def read_site(path: pathlib.Path) -> Site:
    """Raises WrongSite with what is missing."""
    try:
        data = tomllib.loads(path.read_text(encoding="utf-8"))
        classes = [(job["name"], job["kind"]) for job in data["jobs"]]
        site = Site(name=data["name"], nodes=data["nodes"]["count"],
                    zones=tuple(data["nodes"]["zones"]),
                    restart_delay_s=float(data["nodes"]["restart_delay_s"]),
                    lease_s=float(data["workers"]["lease_s"]),
                    cancel_s=float(data["workers"]["cancel_s"]),
                    arrays=tuple(name for name, kind in classes if kind == "array"),
                    gangs=tuple(name for name, kind in classes if kind == "gang"))
    except KeyError as error:
        raise WrongSite(f"{path}: {error.args[0]} is missing") from error
    except (OSError, ValueError, TypeError) as error:
        raise WrongSite(f"{path}: {error}") from error
    if not SAFE_NAME.fullmatch(site.name):
        raise WrongSite(f"{path}: {site.name!r} is no name for a file")
    if not site.arrays or not site.zones:
        raise WrongSite(f"{path}: a day needs a class of arrays and a zone")
    return site


@dataclass(frozen=True)
class Kind:
    """The fields of a kind of fault, and how long it goes on after its time is over."""
    needs: frozenset[str]
    may: frozenset[str] = frozenset()
    tail_s: float = 0.0


def kind(needs: str, may: str = "", tail_s: float = 0.0) -> Kind:
    return Kind(frozenset(needs.split()), frozenset(may.split()), tail_s)


# The tails are the longest delays that the bench gives: 12 s for a transaction, 16 s for a command.
KINDS: dict[str, Kind] = {
    "cancel_at_end": kind("share for_s"),
    "cancel_now": kind("count", "hang_s"),
    "close_looks": kind("for_s"),
    "job_burst": kind("class factor for_s"),
    "late_commands": kind("share for_s", tail_s=16.0),
    "late_reports": kind("share for_s", "for_next"),
    "late_writes": kind("share for_s", "at_once", tail_s=12.0),
    "machine_deaf": kind("for_s", "count share zone"),
    "machine_die": kind("count"),
    "machine_hang": kind("count for_s"),
    "machine_mute": kind("for_s", "count share zone"),
    "node_crash": kind("count busiest"),
    "node_cut": kind("count busiest for_s mode", "from_state from_peers from_workers"),
    "node_freeze": kind("count busiest for_s"),
    "node_roll": kind("every_s"),
    "odd_requests": kind("for_s"),
    "peers_refuse": kind("for_s"),
    "poll_storm": kind("factor for_s"),
    "spot_taken": kind("share notice_s over_s", "zone"),
    "state_outage": kind("for_s"),
    "zone_cut": kind("zone for_s mode"),
}
# Of these a day names one at most.
TARGETS = {"count", "share", "zone"}


@dataclass(frozen=True)
class Fault:
    """One trouble. Raises ValueError if its kind has no such field or lacks one."""
    at_s: float
    kind: str
    fields: dict[str, Value] = field(default_factory=dict)

    def __post_init__(self) -> None:
        known = KINDS.get(self.kind)
        if known is None:
            raise ValueError(f"there is no fault {self.kind}")
        given = set(self.fields)
        if known.needs - given or given - known.needs - known.may:
            raise ValueError(f"{self.kind} does not go with {', '.join(sorted(given)) or 'nothing'}")
        if self.kind in ("machine_deaf", "machine_mute") and len(given & TARGETS) != 1:
            raise ValueError(f"{self.kind} takes one of {', '.join(sorted(TARGETS))}")
        far = self.kind == "zone_cut" or "from_workers" in given
        if "mode" in given and self.fields["mode"] not in (FAR_MODES if far else MODES):
            raise ValueError(f"{self.kind} does not go with mode {self.fields['mode']}")

    def end_s(self, site: Site) -> float:
        """When nothing of it goes on any more."""
        lasts = [self.fields.get(name, 0.0) for name in ("for_s", "hang_s", "over_s")]
        tail = KINDS[self.kind].tail_s
        if self.kind == "node_roll":
            lasts.append(self.fields["every_s"] * site.nodes)
        if self.kind in ("node_crash", "node_roll"):
            tail = site.restart_delay_s
        if self.kind == "late_reports":
            tail = 2 * site.lease_s
        return self.at_s + max(lasts) + tail


@dataclass(frozen=True)
class Plan:
    """What a theme draws: troubles, what differs in classes of jobs, and what is slow all day."""
    faults: list[Fault]
    jobs: list[dict] = field(default_factory=list)
    vary: dict[str, Value] = field(default_factory=dict)


@dataclass(frozen=True)
class Day:
    name: str
    theme: str
    site: str
    seed: int
    duration_s: float
    plan: Plan


class Draw:
    """Numbers from one seed, as a day's author would round them."""

    def __init__(self, *seed: object) -> None:
        self.random = random.Random("/".join(map(str, seed)))

    def between(self, low: float, high: float) -> float:
        return round(self.random.uniform(low, high), 2)

    def whole(self, low: int, high: int) -> int:
        return self.random.randint(low, high)

    def one(self, choices):
        return self.random.choice(list(choices))

    def some(self, choices, count: int) -> list:
        return self.random.sample(list(choices), count)

    def chance(self, probability: float) -> bool:
        return self.random.random() < probability


def at(moment: float, name: str, **fields: Value) -> Fault:
    return Fault(round(moment, 2), name, fields)


# Single troubles.

def leader_ends(moment: float, count: int = 1) -> Fault:
    return at(moment, "node_crash", count=count, busiest=True)


def leader_stands_still(moment: float, for_s: float) -> Fault:
    return at(moment, "node_freeze", count=1, busiest=True, for_s=for_s)


def leader_refused(moment: float, for_s: float) -> Fault:
    """The state service refuses the leader alone."""
    return at(moment, "node_cut", count=1, busiest=True, from_state=True, mode="refuse", for_s=for_s)


def leader_apart(draw: Draw, moment: float, for_s: float) -> Fault:
    """The leader loses the state service and its peers; workers and users still reach it."""
    return at(moment, "node_cut", count=1, busiest=True, from_state=True, from_peers=True,
              mode=draw.one(MODES), for_s=for_s)


def leader_without_workers(draw: Draw, moment: float, for_s: float) -> Fault:
    return at(moment, "node_cut", count=1, busiest=True, from_workers=True,
              mode=draw.one(FAR_MODES), for_s=for_s)


def machines_unreached(draw: Draw, site: Site, moment: float, for_s: float) -> Fault:
    """Part of the machines, or a zone of them, hear nothing or reach nobody."""
    name = draw.one(("machine_deaf", "machine_mute"))
    if draw.chance(0.25):
        return at(moment, name, zone=draw.one(site.zones), for_s=for_s)
    return at(moment, name, share=draw.between(0.1, 0.5), for_s=for_s)


def late_writes(draw: Draw, moment: float, for_s: float) -> Fault:
    more = {"at_once": True} if draw.chance(0.5) else {}
    return at(moment, "late_writes", share=draw.between(0.1, 0.4), for_s=for_s, **more)


def late_reports(draw: Draw, moment: float, for_s: float) -> Fault:
    more = {"for_next": True} if draw.chance(0.5) else {}
    return at(moment, "late_reports", share=draw.between(0.2, 0.6), for_s=for_s, **more)


def late_commands(draw: Draw, moment: float, for_s: float) -> Fault:
    return at(moment, "late_commands", share=draw.between(0.1, 0.5), for_s=for_s)


def long_outage(draw: Draw, site: Site, moment: float) -> Fault:
    """Longer than a cancellation has."""
    return at(moment, "state_outage", for_s=round(site.cancel_s * draw.between(1.1, 1.5), 2))


def users_look(moment: float, for_s: float) -> Fault:
    return at(moment, "close_looks", for_s=for_s)


# Meetings: several troubles pinned to one moment.

def cancel_now(draw: Draw, moment: float) -> Fault:
    more = {"hang_s": draw.between(5, 25)} if draw.chance(0.8) else {}
    return at(moment, "cancel_now", count=draw.whole(20, 60), **more)


def cancel_then_end(draw: Draw, site: Site, moment: float) -> list[Fault]:
    """The leader ends as it confirms, or a moment after."""
    after = draw.one((0.05, 0.3, 0.3, 1.0, 3.0))
    return [cancel_now(draw, moment), leader_ends(moment + after, draw.one((1, 1, 2)))]


def cancel_while_unreached(draw: Draw, site: Site, moment: float) -> list[Fault]:
    """Cancellations while machines hear nothing or reach nobody, and the leader changes."""
    return [machines_unreached(draw, site, moment, draw.between(15, 1.5 * site.lease_s)),
            *cancel_then_end(draw, site, moment + draw.between(1, 10))]


def cancel_while_refused(draw: Draw, site: Site, moment: float) -> list[Fault]:
    """The leader alone is refused as users cancel; in part of the days everybody is, a second later."""
    out = [leader_refused(moment, draw.between(3, 14)), cancel_now(draw, moment + 0.1)]
    if draw.chance(0.5):
        out.append(long_outage(draw, site, moment + draw.one((1.0, 2.0, 6.0))))
    return out


def cancel_while_apart(draw: Draw, site: Site, moment: float) -> list[Fault]:
    """A former leader keeps its workers while jobs are cancelled through its successor."""
    out = [leader_apart(draw, moment, draw.between(10, 60)),
           cancel_now(draw, moment + draw.between(4, 12))]
    if draw.chance(0.5):
        out.append(leader_ends(moment + draw.between(8, 14)))
    return out


def cancel_while_zone_cut(draw: Draw, site: Site, moment: float) -> list[Fault]:
    """A zone with workers and a controller is away for longer than a lease."""
    for_s = round(site.lease_s * draw.between(1.1, 2.5), 2)
    out = [at(moment, "zone_cut", zone=draw.one(site.zones), for_s=for_s,
              mode=draw.one(FAR_MODES)),
           cancel_now(draw, moment + draw.between(0.5, 8))]
    if draw.chance(0.4):
        out.append(long_outage(draw, site, moment + draw.between(6, 10)))
    return out


def end_in_outage(draw: Draw, site: Site, moment: float) -> list[Fault]:
    """Leaders end or stand still inside an outage, which begins as users cancel."""
    outage = long_outage(draw, site, moment) if draw.chance(0.5) else at(
        moment, "state_outage", for_s=draw.between(1, 12))
    out = [cancel_now(draw, moment - draw.one((0.3, 1.0, 4.0))), outage]
    for _ in range(draw.whole(1, 3)):
        when = moment + outage.fields["for_s"] * draw.between(0.05, 0.95)
        out.append(leader_ends(when) if draw.chance(0.7)
                   else leader_stands_still(when, draw.between(3, 12)))
    if draw.chance(0.3):
        out.append(at(moment + 1, "peers_refuse", for_s=draw.between(5, 20)))
    return out


def all_away(draw: Draw, site: Site, moment: float) -> list[Fault]:
    """All controllers end one after the other, or at once, again and again within a lease."""
    if draw.chance(0.5):
        return [at(moment, "node_roll", every_s=draw.one((0.4, 2.0, 4.0, 8.0)))]
    return [leader_ends(moment + 0.8 * step, site.nodes) for step in range(draw.whole(1, 4))]


def old_reports_meet_a_leader(draw: Draw, site: Site, moment: float) -> list[Fault]:
    """Copies of reports wait for the next leader, which then begins."""
    return [at(moment, "late_reports", share=draw.between(0.3, 0.7), for_next=True,
               for_s=draw.between(10, 30)), leader_ends(moment + draw.between(3, 9))]


def late_order_of_a_former_leader(draw: Draw, site: Site, moment: float) -> list[Fault]:
    return [late_commands(draw, moment, draw.between(10, 30)),
            *cancel_then_end(draw, site, moment + draw.between(2, 8))]


def limits_reached(draw: Draw, site: Site, moment: float) -> list[Fault]:
    """More work than room while jobs are cancelled on machines that hang, and the leader changes."""
    bursts = [at(moment, "job_burst", **{"class": name}, factor=draw.between(2, 4), for_s=40.0)
              for name in draw.some(site.classes, 2)]
    return bursts + cancel_while_unreached(draw, site, moment + 25)


def zone_loses_machines(draw: Draw, site: Site, moment: float) -> list[Fault]:
    return [at(moment, "spot_taken", share=draw.between(0.1, 0.25), notice_s=0.0, over_s=10.0,
               zone=draw.one(site.zones)),
            at(moment + draw.between(0, 10), "machine_die", count=draw.whole(5, 30)),
            leader_ends(moment + draw.between(2, 12))]


def hang_and_change(draw: Draw, site: Site, moment: float) -> list[Fault]:
    return [at(moment, "machine_hang", count=draw.whole(20, 60), for_s=draw.between(8, 30)),
            leader_ends(moment + draw.between(1, 5))]


def change_of_leader(draw: Draw, moment: float) -> list[Fault]:
    """One change, in one of the ways that a leader is lost."""
    way = draw.whole(0, 5)
    if way == 0:
        return [leader_refused(moment, draw.between(3, 6))]
    if way == 1:
        return [leader_apart(draw, moment, draw.between(4, 20))]
    if way == 2:
        return [leader_stands_still(moment, draw.between(5, 12))]
    return [leader_ends(moment, draw.whole(1, 2))]


def ten_leaders(draw: Draw, site: Site, moment: float) -> list[Fault]:
    """Ten changes in two minutes, three of them inside an outage, cancellations in between."""
    steps = [moment + 12.0 * number + draw.between(0, 4) for number in range(8)]
    out = [fault for step in steps for fault in change_of_leader(draw, step)]
    out += cancel_then_end(draw, site, moment + draw.between(5, 40))
    outage = moment + draw.between(60, 90)
    out.append(at(outage, "state_outage", for_s=draw.between(4, 12)))
    out += [leader_ends(outage + 0.4 + 0.8 * number, draw.whole(1, 2)) for number in range(3)]
    out += cancel_then_end(draw, site, outage - draw.between(0.2, 15))
    return out


def cancel_through_terms(draw: Draw, site: Site, moment: float) -> list[Fault]:
    """Machines are unreached or hang as users cancel, the leader that confirms ends, and leader after
    leader follows until the cancellation has had its time."""
    cancel = moment + draw.between(3, 25)
    out = [machines_unreached(draw, site, moment, draw.between(site.lease_s, 1.5 * site.cancel_s)),
           at(cancel, "cancel_now", count=draw.whole(30, 60), hang_s=draw.between(10, 25)),
           leader_ends(cancel + draw.one((0.05, 0.3)))]
    step = cancel + draw.between(1, 8)
    while step < cancel + site.cancel_s:
        out += change_of_leader(draw, step)
        step += draw.between(1, 10)
    if draw.chance(0.7):
        out.append(at(cancel + draw.between(5, 40), "state_outage", for_s=draw.between(1, 12)))
    return out


def cancel_until_a_lease_is_left(draw: Draw, site: Site, moment: float) -> list[Fault]:
    """Machines go on after a hang just as long as a lease before the cancellation has had its time: an
    answer that renews then must know of it. Leaders change at that moment, and an outage follows."""
    left = site.cancel_s - site.lease_s
    cancel = moment + draw.between(5, 25)
    awake = cancel + left + draw.between(-1.5, 4)
    out = [at(moment, "machine_mute", share=draw.between(0.2, 0.5), for_s=round(awake - 5 - moment, 2)),
           at(cancel, "cancel_now", count=draw.whole(40, 60), hang_s=round(awake - cancel, 2)),
           leader_ends(cancel + draw.one((0.05, 0.3))),
           *change_of_leader(draw, cancel + draw.between(3, 0.6 * left)),
           *change_of_leader(draw, awake - draw.between(2, 6)),
           leader_ends(awake + draw.between(-0.8, 0.4), draw.whole(1, site.nodes))]
    out += [leader_ends(awake + draw.between(1, 8), draw.whole(1, 2)) for _ in range(2)]
    outage = awake + draw.between(2, 10)
    out.append(at(outage, "state_outage", for_s=round(draw.between(0.5, 1.0) * site.lease_s, 2)))
    return out + [leader_ends(outage + 0.8 * (step + 1), draw.whole(1, 2)) for step in range(2)]


def cancel_renewed_once_more(draw: Draw, site: Site, moment: float) -> list[Fault]:
    """As a machine wakes the leader has just changed and its first answer may renew; then the machine
    hears nothing for longer than a lease, and commands to it are held up before that."""
    left = site.cancel_s - site.lease_s
    awake = moment + left + draw.between(0, 4)
    deaf = awake + draw.between(0.3, 6)
    return [at(moment, "cancel_now", count=draw.whole(40, 60), hang_s=round(awake - moment, 2)),
            at(awake - 4, "late_commands", share=draw.between(0.5, 0.95), for_s=10.0),
            leader_ends(awake - draw.between(-0.5, 2)),
            leader_ends(deaf - draw.between(0.1, 1)),
            at(deaf, "machine_deaf", share=draw.between(0.5, 0.9),
               for_s=round(site.lease_s + draw.between(5, 20), 2)),
            *change_of_leader(draw, deaf + draw.between(2, 15))]


Meeting = Callable[[Draw, Site, float], list[Fault]]


def in_turn(draw: Draw, site: Site, meetings: list[Meeting], first: float = FIRST_S) -> list[Fault]:
    """The meetings one after the other, each beginning before the last is quite over."""
    out, moment = [], first
    for meeting in meetings:
        faults = meeting(draw, site, round(moment + draw.between(0, 8), 2))
        out += faults
        moment = max(fault.at_s for fault in faults) + draw.between(8, 25)
    return out


def span_of(faults: list[Fault]) -> float:
    return max(fault.at_s for fault in faults) - FIRST_S + 10.0


# What differs in the jobs of a day.

def cancelled(draw: Draw, site: Site, low: float = 0.2, high: float = 0.6) -> list[dict]:
    return [{"name": name, "cancelled": draw.between(low, high)}
            for name in (*site.arrays, *site.gangs[:1])]


def long_tasks(draw: Draw, site: Site, jobs: list[dict]) -> list[dict]:
    """The first class of arrays runs on for longer than a cancellation has, in half of the days."""
    if draw.chance(0.5):
        return jobs
    run_s = {"median": round(2.4 * site.cancel_s, 1), "p95": round(3.0 * site.cancel_s, 1),
             "max": round(3.4 * site.cancel_s, 1)}
    return [job | {"run_s": run_s} if job["name"] == site.arrays[0] else job for job in jobs]


def one_task_jobs(site: Site) -> list[dict]:
    """Four jobs a second of one task each, a quarter of them cancelled."""
    return [{"name": site.arrays[-1], "cancelled": 0.25, "arrivals": {"rate": 4.0},
             "tasks": {"median": 1.0, "p95": 1.0, "max": 1.0}}]


def slow_state(draw: Draw) -> dict[str, Value]:
    if draw.chance(0.4):
        return {}
    return {"state_slow": draw.between(0.02, 0.06), "state_slow_times": float(draw.one((15, 25, 100)))}


# Themes.

def many_leaders(draw: Draw, site: Site) -> Plan:
    faults = [*cancel_while_unreached(draw, site, FIRST_S), *ten_leaders(draw, site, FIRST_S + 20),
              machines_unreached(draw, site, FIRST_S + draw.between(60, 90), site.lease_s),
              late_writes(draw, FIRST_S - 8, 40.0)]
    faults.append(users_look(FIRST_S - 20, round(span_of(faults) + 30, 2)))
    return Plan(faults, long_tasks(draw, site, cancelled(draw, site)), slow_state(draw))


def through_terms(draw: Draw, site: Site) -> Plan:
    faults = in_turn(draw, site, [cancel_through_terms, cancel_through_terms])
    faults.append(late_reports(draw, FIRST_S, span_of(faults)))
    return Plan(faults, long_tasks(draw, site, cancelled(draw, site)), slow_state(draw))


def late_hangs(draw: Draw, site: Site) -> Plan:
    faults = in_turn(draw, site, [cancel_until_a_lease_is_left] * 3)
    return Plan(faults, long_tasks(draw, site, cancelled(draw, site)), slow_state(draw))


def deaf_after_hang(draw: Draw, site: Site) -> Plan:
    faults = in_turn(draw, site, [cancel_renewed_once_more] * 3)
    return Plan(faults, long_tasks(draw, site, cancelled(draw, site)), slow_state(draw))


def cancel_and_cut(draw: Draw, site: Site) -> Plan:
    meetings = [cancel_while_refused, cancel_while_apart, cancel_while_zone_cut, cancel_then_end]
    faults = in_turn(draw, site, draw.some(meetings, 4))
    faults.append(leader_without_workers(draw, FIRST_S + draw.between(10, 60), draw.between(8, 25)))
    return Plan(faults, long_tasks(draw, site, cancelled(draw, site)), slow_state(draw))


def close_looks(draw: Draw, site: Site) -> Plan:
    meetings = [cancel_then_end, cancel_while_refused, all_away, cancel_while_apart, end_in_outage]
    faults = in_turn(draw, site, draw.some(meetings, 3))
    span = span_of(faults)
    faults += [users_look(FIRST_S - 10, span + 10),
               late_writes(draw, FIRST_S - 5, round(span / 2, 2)),
               late_writes(draw, FIRST_S + round(span / 2, 2), round(span / 2, 2)),
               at(FIRST_S - 5, "cancel_at_end", share=draw.between(0.2, 0.6), for_s=span),
               at(FIRST_S + 5, "odd_requests", for_s=span)]
    return Plan(faults, cancelled(draw, site, 0.1, 0.4), slow_state(draw))


def small_jobs(draw: Draw, site: Site) -> Plan:
    meetings = [cancel_then_end, old_reports_meet_a_leader, late_order_of_a_former_leader, all_away,
                cancel_while_refused]
    faults = in_turn(draw, site, draw.some(meetings, 4))
    span = span_of(faults)
    faults += [at(FIRST_S, "cancel_at_end", share=draw.between(0.2, 0.5), for_s=span),
               late_writes(draw, FIRST_S + draw.between(0, 20), 40.0)]
    if draw.chance(0.5):
        faults.append(users_look(FIRST_S, span))
    return Plan(faults, one_task_jobs(site), slow_state(draw))


def mute_and_deaf(draw: Draw, site: Site) -> Plan:
    meetings = [cancel_while_unreached, cancel_while_unreached, late_order_of_a_former_leader,
                hang_and_change, old_reports_meet_a_leader]
    faults = in_turn(draw, site, draw.some(meetings, 5))
    faults += [late_reports(draw, FIRST_S, span_of(faults)),
               at(FIRST_S + draw.between(10, 50), "state_outage", for_s=draw.between(1, 6))]
    return Plan(faults, long_tasks(draw, site, cancelled(draw, site)), slow_state(draw))


def outage(draw: Draw, site: Site) -> Plan:
    meetings = [end_in_outage, cancel_while_refused, end_in_outage]
    faults = in_turn(draw, site, meetings)
    faults += [machines_unreached(draw, site, FIRST_S + draw.between(0, 30), site.lease_s),
               *all_away(draw, site, FIRST_S + span_of(faults))]
    return Plan(faults, long_tasks(draw, site, cancelled(draw, site)), slow_state(draw))


def at_limits(draw: Draw, site: Site) -> Plan:
    meetings = [limits_reached, zone_loses_machines, limits_reached]
    faults = in_turn(draw, site, meetings)
    faults.append(late_writes(draw, FIRST_S + 20, 40.0))
    return Plan(faults, cancelled(draw, site, 0.1, 0.4), slow_state(draw))


MEETINGS: list[Meeting] = [
    cancel_then_end, cancel_while_unreached, cancel_while_refused, cancel_while_apart,
    cancel_while_zone_cut, end_in_outage, all_away, old_reports_meet_a_leader,
    late_order_of_a_former_leader, limits_reached, zone_loses_machines, hang_and_change]


def everything(draw: Draw, site: Site) -> Plan:
    faults = in_turn(draw, site, draw.some(MEETINGS, 6))
    span = span_of(faults)
    faults += [users_look(FIRST_S, span), late_writes(draw, FIRST_S + span / 3, round(span / 3, 2)),
               late_reports(draw, FIRST_S, span), late_commands(draw, FIRST_S + span / 2, 30.0),
               at(FIRST_S, "cancel_at_end", share=draw.between(0.1, 0.4), for_s=span),
               at(FIRST_S + 10, "odd_requests", for_s=span),
               at(FIRST_S + draw.between(20, 60), "poll_storm", factor=5.0, for_s=20.0)]
    return Plan(faults, cancelled(draw, site, 0.1, 0.5), slow_state(draw))


THEMES: dict[str, Callable[[Draw, Site], Plan]] = {
    "many-leaders": many_leaders,
    "through-terms": through_terms,
    "late-hangs": late_hangs,
    "deaf-after-hang": deaf_after_hang,
    "cancel-and-cut": cancel_and_cut,
    "close-looks": close_looks,
    "small-jobs": small_jobs,
    "mute-and-deaf": mute_and_deaf,
    "outage": outage,
    "at-limits": at_limits,
    "everything": everything,
}


def make(site: Site, theme: str, seed: int) -> Day:
    """The day of this site, theme and seed, always the same. Raises KeyError for an unknown theme."""
    plan = THEMES[theme](Draw(site.name, theme, seed), site)
    plan = dataclasses.replace(plan, faults=sorted(plan.faults, key=lambda fault: fault.at_s))
    over = max(fault.end_s(site) for fault in plan.faults)
    duration = max(SHORTEST_DAY_S, float(round(over + RECOVERY_S + 0.5)))
    return Day(f"{theme}-{site.name}-{seed}", theme, site.name, seed, duration, plan)


def written(value: object) -> str:
    """A value as TOML has it, tables inline."""
    if isinstance(value, dict):
        return "{ " + ", ".join(f"{key} = {written(one)}" for key, one in value.items()) + " }"
    return json.dumps(value)


def as_toml(day: Day) -> str:
    out = [f"# tools/days make, site {day.site}, theme {day.theme}, seed {day.seed}.", "[[day]]",
           f'name = "{day.name}"', 'slot = "scale"', f"seed = {day.seed}",
           f"duration_s = {day.duration_s}"]
    if day.plan.jobs:
        out += ["jobs = [", *(f"  {written(job)}," for job in day.plan.jobs), "]"]
    if day.plan.vary:
        out.append(f"vary = {written(day.plan.vary)}")
    out.append("faults = [")
    out += [f"  {written({'at_s': fault.at_s, 'kind': fault.kind} | fault.fields)},"
            for fault in day.plan.faults]
    return "\n".join([*out, "]"]) + "\n"
