"""Who does what for control in the fleet, what carries it, and what comes in a burst, as data.

It owns roles, duties, bursts, steps and the formulas of what each costs. It must never hold a measured
figure, nor say that something works which no file carries.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from marbleworks.lab.target import (
    CLIENTS,
    DAY,
    DRIFT,
    ENGINES,
    FAILED,
    LEASE,
    MACHINES,
    QUIET,
    RACK,
    REGIONS,
    RESTART,
    RESTARTED,
    ROUTERS,
    SETTLE,
    START_WITHIN,
    TENTH,
    TERM,
    TOLD,
    ZONE_CLIENTS,
    ZONE_ENGINES,
    ZONE_ROUTERS,
    Formula,
    Use,
    Variant,
    product,
    slope,
)
from marbleworks.membership.codec import MAX_ROUTERS

FLAT, CELLS = Variant.FLAT, Variant.CELLS


class Role(Enum):
    ROUTER = "router"
    DIVIDER = "who divides in a group, or leads a cell"
    REGION = "level of a region"
    FLEET = "level of the fleet"
    MACHINE = "each of the seven machines"
    LIST = "source of the list"
    CONFIGURATION = "source of configuration"
    ENGINE = "an engine, for what control costs it"


class Duty(Enum):
    MEMBERSHIP = "membership"
    LIST = "list"
    BUDGETS = "budgets"
    COLD = "cold ramps"
    RETRY = "retry budgets"
    CONFIGURATION = "configuration"
    PRIMARIES = "primaries"
    DECISIONS = "decisions"
    CLIENTS = "client connections"
    DOOR = "door"
    SPOOL = "spool"
    LOGS = "logs"


CONTROL = (
    Duty.MEMBERSHIP,
    Duty.LIST,
    Duty.BUDGETS,
    Duty.COLD,
    Duty.RETRY,
    Duty.CONFIGURATION,
    Duty.PRIMARIES,
)


class Status(Enum):
    WORKS = "works"
    BUILT = "built now"
    MISSING = "missing"


@dataclass(frozen=True)
class Carried:
    """by: the mechanism, in words; files: of the package, that carry it, none where it is missing; takes:
    what it would take where it is missing or over."""

    by: str
    status: Status
    files: tuple[str, ...] = ()
    takes: str = ""


@dataclass(frozen=True)
class Row:
    """state: what is kept, in words. messages and bytes: a second, the fuller of both directions; cpu:
    processor seconds a second; memory: bytes. None where no slope says it. awaited: nothing of it has a run,
    and the page says so."""

    role: Role
    duty: Duty
    variant: Variant
    carried: Carried
    state: str
    messages: Formula | None = None
    bytes: Formula | None = None
    cpu: Formula | None = None
    memory: Formula | None = None
    awaited: bool = False

    def formulas(self) -> dict[str, Formula]:
        found = {"messages": self.messages, "bytes": self.bytes, "cpu": self.cpu, "memory": self.memory}
        return {what: formula for what, formula in found.items() if formula is not None}


# What carries it.

PEERS = ("membership/failure_detector.py", "membership/leader_election.py")
NUMBERED = "a numbered configuration that leaders pass on, in force from a moment that all know"
NAMED = "one primary by name, which is told, gives up and is followed"
NEWER = "a list by cell; told only when it is newer"
BOOKS = ("budgets/local_budget.py", "budgets/allocation_ledger.py")
SWIM = Carried(
    "SWIM among all, one lease by votes of a majority",
    Status.WORKS,
    PEERS,
    f"cells: a router knows its cell alone; a datagram numbers {MAX_ROUTERS:,} routers at most",
)
IN_CELL = Carried(
    "the same in each cell; the plan and who makes it are decided in cells/, joined to no router",
    Status.MISSING,
    (),
    "cells/ joined to the router",
)
LEADER = Carried("a cell's leader, by the cell's votes", Status.MISSING, (), "cells/ joined to the router")
ASKED = Carried(
    "the whole list asked by DNS over UDP, read only where it differs",
    Status.WORKS,
    ("net/discovery.py",),
    NEWER,
)
ASKED_CELL = Carried("the list of a cell", Status.MISSING, (), NEWER)
REPORTED = Carried(
    "reports to the divider, leases from it",
    Status.WORKS,
    BOOKS,
    "cells: leases from fleet to region to cell to router; reports only of what changed",
)
REPORTED_CELL = Carried(
    "reports to the cell's leader, leases from it",
    Status.MISSING,
    (),
    "cells/ joined to the router; reports only of what changed",
)
LEASED = Carried(
    "the books of each level, over the level below; decided in cells/, joined to no router",
    Status.MISSING,
    (),
    "cells/ joined to the router; a level of regions",
)
RAMPED = Carried(
    "sponsors by hash, more as it warms, or a budget for each cold engine",
    Status.WORKS,
    ("scheduling/slow_start.py", *BOOKS),
    "the same in each cell",
)
RAMPED_CELL = Carried("the same in the engine's cell", Status.MISSING, (), "cells")
RETRIED = Carried(
    "the settings' ratio, or one budget", Status.WORKS, ("scheduling/retry_budget.py", *BOOKS), "cells"
)
RETRIED_CELL = Carried("one budget, leased down the levels", Status.MISSING, (), "the levels")
RELOADED = Carried("a file and SIGHUP read anew", Status.WORKS, ("net/server.py",))
BY_HAND = Carried("a file by hand to each router", Status.MISSING, (), NUMBERED)
SPREAD = Carried("configurations with numbers, spread over the levels", Status.MISSING, (), NUMBERED)
HOMES = Carried(
    "homes of a table group by hash over the list, the same at each router; none named, no move by plan",
    Status.MISSING,
    ("scheduling/placement.py",),
    NAMED,
)
HOMES_CELL = Carried(
    "one home, in one cell; decided in cells/, joined to no router", Status.MISSING, (), NAMED
)
DECIDED = Carried("one module over all engines listed", Status.WORKS, ("scheduling/scheduler.py",), "cells")
DECIDED_CELL = Carried("the same over the cell's engines", Status.MISSING, (), "cells")
FRONTS = Carried("one greenlet a connection", Status.WORKS, ("net/client_session.py",))
DOORS = Carried("fair queues by member", Status.WORKS, ("fair_queue/admission.py",))
SPOOLED = Carried("a router's own disk; knows of no other", Status.WORKS, ("spool/service.py",))
LOGGED = Carried("lines of JSON, each router its own", Status.WORKS, ("net/actor.py",), "cells")
LOGGED_CELL = Carried("the same, of its cell alone", Status.MISSING, (), "cells")
TO_EACH = Carried("connections from each router that sends", Status.WORKS, ("net/engine_client.py",), "cells")
TO_EACH_CELL = Carried("connections from the routers of its cell", Status.MISSING, (), "cells")


def _router() -> list[Row]:
    both = ((FLAT, 0), (CELLS, 1))
    rows = []
    for variant, n in both:
        r, known = Role.ROUTER, ("the fleet's", "the cell's")[n]
        rows += [
            Row(
                r,
                Duty.MEMBERSHIP,
                variant,
                (SWIM, IN_CELL)[n],
                f"{known} routers",
                slope("member_datagrams", "routers"),
                slope("member_bytes", "routers"),
                slope("member_cpu", "routers"),
                slope("member_state", "routers"),
            ),
            Row(
                r,
                Duty.LIST,
                variant,
                (ASKED, ASKED_CELL)[n],
                f"{known} engines",
                product("asks", "two"),
                slope("list_bytes", "engines", "asks"),
                (*slope("list_cpu", "engines", "seen"), *slope("listed_cpu", "engines", "seen")),
                slope("engine_state", "engines"),
            ),
            Row(
                r,
                Duty.BUDGETS,
                variant,
                (REPORTED, REPORTED_CELL)[n],
                f"its parts at {known} engines",
                product("reports", "datagrams"),
                slope("report_bytes", "budgets", "reports"),
                None,
                slope("purse_state", "budgets"),
            ),
            Row(
                r,
                Duty.COLD,
                variant,
                (RAMPED, RAMPED_CELL)[n],
                f"its parts at {known} cold engines",
                product("reports", "cold_datagrams"),
                slope("report_bytes", "cold", "reports"),
                None,
                slope("purse_state", "cold"),
            ),
            Row(
                r,
                Duty.RETRY,
                variant,
                (RETRIED, RETRIED_CELL)[n],
                "its part of one budget",
                product("reports"),
                slope("report_bytes", "one", "reports"),
                None,
                slope("purse_state", "one"),
            ),
            Row(
                r,
                Duty.CONFIGURATION,
                variant,
                (RELOADED, SPREAD)[n],
                "one file",
                product("configurations"),
                None,
                slope("config_cpu", "tenants", "configurations"),
            ),
            Row(
                r,
                Duty.PRIMARIES,
                variant,
                (HOMES, HOMES_CELL)[n],
                f"homes over {known} engines",
                product("primaries"),
                None,
                slope("listed_cpu", "engines", "primaries"),
                product("home", "groups", "engines"),
            ),
            Row(
                r,
                Duty.DECISIONS,
                variant,
                (DECIDED, DECIDED_CELL)[n],
                f"{known} engines, commands out",
                product("commands"),
                None,
                (
                    *slope("decide_known", "engines", "commands"),
                    *slope("decide_new", "engines", "commands", "first"),
                ),
            ),
            Row(
                r,
                Duty.CLIENTS,
                variant,
                FRONTS,
                "its clients' connections",
                product("commands"),
                None,
                slope("client_cpu", "clients"),
                slope("client_state", "clients"),
            ),
            Row(r, Duty.DOOR, variant, DOORS, "members known", memory=slope("door_state", "members")),
            Row(r, Duty.SPOOL, variant, SPOOLED, "its own results", awaited=True),
            Row(
                r,
                Duty.LOGS,
                variant,
                (LOGGED, LOGGED_CELL)[n],
                f"none; lines for each of {known} changes",
                product("seen", "lines"),
                product("seen", "lines", "words"),
                awaited=True,
            ),
        ]
    return rows


def _divider() -> list[Row]:
    rows = []
    for variant, n in ((FLAT, 0), (CELLS, 1)):
        r, whose = Role.DIVIDER, ("the fleet's", "the cell's")[n]
        rows.append(
            Row(
                r,
                Duty.MEMBERSHIP,
                variant,
                (SWIM, LEADER)[n],
                f"{whose} routers, their rights",
                slope("divider_datagrams", "routers"),
                slope("divider_bytes", "routers"),
                slope("divider_cpu", "routers"),
                slope("member_state", "routers"),
            )
        )
        for duty, carried, of, datagrams, books, words in (
            (Duty.BUDGETS, (REPORTED, REPORTED_CELL)[n], "budgets", "datagrams", "books", "budget"),
            (Duty.COLD, (RAMPED, RAMPED_CELL)[n], "cold", "cold_datagrams", "cold_books", "cold engine"),
            (Duty.RETRY, (RETRIED, RETRIED_CELL)[n], "one", "one", "routers", "part of one budget"),
        ):
            rows.append(
                Row(
                    r,
                    duty,
                    variant,
                    carried,
                    f"books: each {words} for each of {whose} routers",
                    slope("ledger_datagrams", "routers", datagrams),
                    slope("report_bytes", of, "reports", "routers"),
                    slope("ledger_cpu", "routers", "reports", "routers", datagrams),
                    slope("ledger_state", books),
                )
            )
    return rows


def _levels() -> list[Row]:
    rows = []
    for role, below, words in (
        (Role.REGION, "cells_of_region", "sums of its cells"),
        (Role.FLEET, "regions", "sums of the regions"),
        (Role.MACHINE, "fleet", "one level's sums, and copies for the others'"),
    ):
        if role is Role.MACHINE:
            rows.append(
                Row(
                    role,
                    Duty.MEMBERSHIP,
                    CELLS,
                    LEASED,
                    words,
                    None,
                    slope("level_bytes", "fleet"),
                    slope("level_cpu", "fleet"),
                    slope("level_state", "fleet"),
                )
            )
            continue
        rows.append(
            Row(
                role,
                Duty.MEMBERSHIP,
                CELLS,
                LEASED,
                words,
                slope("divider_datagrams", below),
                slope("divider_bytes", below),
                slope("divider_cpu", below),
                slope("member_state", below),
            )
        )
        books = "region_books" if role is Role.REGION else "fleet_books"
        for duty, carried, datagrams, of, held in (
            (Duty.BUDGETS, LEASED, "shared_datagrams", "shared", books),
            (Duty.RETRY, RETRIED_CELL, "one", "one", below),
        ):
            rows.append(
                Row(
                    role,
                    duty,
                    CELLS,
                    carried,
                    f"books over {words}",
                    slope("ledger_datagrams", below, datagrams),
                    slope("report_bytes", of, "reports", below),
                    slope("ledger_cpu", below, "reports", below, datagrams),
                    slope("ledger_state", held),
                )
            )
    for role in (Role.REGION, Role.FLEET, Role.MACHINE):
        rows.append(Row(role, Duty.CONFIGURATION, CELLS, SPREAD, "the newest configuration", awaited=True))
    return rows


def _sources() -> list[Row]:
    rows = []
    for variant, n in ((FLAT, 0), (CELLS, 1)):
        rows += [
            Row(
                Role.LIST,
                Duty.LIST,
                variant,
                (ASKED, ASKED_CELL)[n],
                "all engines",
                product("asks", "two", "fleet"),
                slope("list_bytes", "engines", "asks", "fleet"),
            ),
            Row(
                Role.CONFIGURATION,
                Duty.CONFIGURATION,
                variant,
                (BY_HAND, SPREAD)[n],
                "the newest",
                product("configurations", "fleet"),
                awaited=True,
            ),
            Row(
                Role.ENGINE,
                Duty.DECISIONS,
                variant,
                (TO_EACH, TO_EACH_CELL)[n],
                f"connections from each of {('the fleet', 'its cell')[n]}'s routers: {('all', 'few')[n]}",
                product("routers"),
                awaited=True,
            ),
        ]
    return rows


ROWS = [*_router(), *_divider(), *_levels(), *_sources()]

# What a role does not do, with why. A divider does all else as a router, and its sum counts that.
_NO_LEVEL = "none today: nothing stands above a flat group"
AS_ROUTER = tuple(duty for duty in Duty if duty not in (Duty.MEMBERSHIP, Duty.BUDGETS, Duty.COLD, Duty.RETRY))
_LEVEL_NOT = {
    Duty.LIST: "its cells' leaders tell sums, never engines",
    Duty.COLD: "a cold engine is its cell's matter",
    Duty.PRIMARIES: "a home is its cell's matter",
    Duty.DECISIONS: "takes no commands",
    Duty.CLIENTS: "has no clients",
    Duty.DOOR: "has no clients",
    Duty.SPOOL: "takes no commands",
    Duty.LOGS: "counted with its machine, which has no run",
}
_MACHINE_NOT = {
    **_LEVEL_NOT,
    Duty.BUDGETS: "with the level that it holds",
    Duty.RETRY: "with the level that it holds",
}


def _absent() -> dict[tuple[Role, Duty], str]:
    found: dict[tuple[Role, Duty], str] = {}
    for role in (Role.REGION, Role.FLEET):
        found |= {(role, duty): why for duty, why in _LEVEL_NOT.items()}
    found |= {(Role.MACHINE, duty): why for duty, why in _MACHINE_NOT.items()}
    for role, has, why in (
        (Role.LIST, (Duty.LIST,), "tells the list and nothing else"),
        (Role.CONFIGURATION, (Duty.CONFIGURATION,), "tells configurations and nothing else"),
        (Role.ENGINE, (Duty.DECISIONS,), "of this code it sees commands and connections alone"),
    ):
        found |= {(role, duty): why for duty in Duty if duty not in has}
    found |= {(Role.DIVIDER, duty): "as a router" for duty in AS_ROUTER}
    return found


ABSENT = _absent()

# What one run measures of all of control together, in cells, beside the sum that is worked out by duty.
WHOLE = (
    ("router, mean", CELLS, "cell_cpu", "cell_bytes", "cell_state"),
    ("leader of a cell", CELLS, "cell_leader_cpu", "cell_leader_bytes", "cell_leader_state"),
    ("machine of the level above", CELLS, "level_cpu", "level_bytes", "level_state"),
    ("router, hollow, on datagrams", FLAT, "hollow_cpu", "hollow_bytes", "hollow_state"),
)


# Bursts.


@dataclass(frozen=True)
class Burst:
    """gone, engines, clients: routers, engines and connections that are lost at once. restarts: a second in
    the fleet. starting: routers that start at once; all of them where the group itself begins. cut: routers
    without a majority of theirs. cold: engines that are fresh at once. seven: machines lost of the seven.
    goes, refused: by variant."""

    name: str
    goes: tuple[str, str]
    refused: tuple[str, str]
    gone: float = 0.0
    engines: float = 0.0
    clients: float = 0.0
    restarts: float = 0.0
    starting: float = 0.0
    cut: float = 0.0
    cold: float = 0.0
    seven: int = 0

    def inputs(self, variant: Variant, of: dict[str, float]) -> dict[str, float]:
        """What formulas of a burst may name besides: what comes to one group or cell, spread evenly over all,
        and what the routers that are left take over."""
        cells = of["cells"]
        left = ROUTERS - self.gone
        rate = self.restarts + (self.gone + self.starting) / START_WITHIN
        return {
            **of,
            "left_clients": of["clients"] + self.clients / left,
            "left_commands": of["commands"] * ROUTERS / left,
            "rate": rate / cells,
            "warming": self.cold / cells,
            "warming_books": self.cold / cells * of["routers"],
        }


_FEW = RACK * ROUTERS / (ROUTERS + ENGINES)
_NOTHING = "nothing"
_SERVES = "all routers serve; what they held is divided anew"
BURSTS = [
    Burst(
        "an ordinary day",
        (_SERVES, _SERVES),
        ("commands on the dead engine that may not run twice",) * 2,
        gone=1.0,
        engines=1.0,
        restarts=(FAILED + RESTARTED) / DAY,
    ),
    Burst(
        "a rack or a switch",
        (_SERVES, "all cells, each with some routers and engines fewer"),
        ("commands out on its engines that may not run twice",) * 2,
        gone=_FEW,
        engines=RACK - _FEW,
    ),
    Burst(
        "a zone at once",
        (_SERVES, "all cells, each with a zone's part fewer"),
        ("commands out there that may not run twice; what is beyond the budgets that are left",) * 2,
        gone=ZONE_ROUTERS,
        engines=ZONE_ENGINES,
        clients=ZONE_CLIENTS,
    ),
    Burst(
        "the zone's return",
        (_SERVES, "all cells; cold engines by their ramps"),
        ("commands for cold engines beyond their ramps",) * 2,
        starting=ZONE_ROUTERS,
        cold=ZONE_ENGINES,
    ),
    Burst(
        "restarts, a tenth of the fleet at a time",
        (_SERVES, "all cells, each with a tenth fewer"),
        ("nothing that may go to another router",) * 2,
        gone=TENTH * ROUTERS,
        engines=TENTH * ENGINES,
        clients=TENTH * CLIENTS,
        restarts=TENTH * ROUTERS / RESTART,
        starting=TENTH * ROUTERS,
        cold=TENTH * ENGINES,
    ),
    Burst(
        "a region cut off for minutes",
        (
            "the regions together divide; the one cut off has its bases once the lease is over",
            "the region's cells divide inside on what they were leased, then on their bases",
        ),
        (
            "in the region cut off: what is beyond bases, and all cold engines",
            "in the region cut off: what is beyond its base of fleet-wide budgets",
        ),
        cut=ROUTERS / REGIONS,
    ),
    Burst(
        "the region's return",
        ("views meet by probes of those gone", "leases from the fleet begin again"),
        (_NOTHING, _NOTHING),
        starting=ROUTERS / REGIONS,
    ),
    *[
        Burst(
            f"{count} of the seven machines lost",
            ("all: nothing stands on them today", goes),
            (_NOTHING, refused),
            seven=lost,
        )
        for count, lost, goes, refused in (
            ("one", 1, "all: a majority is left", _NOTHING),
            ("three", 3, "all: a majority is left", _NOTHING),
            ("four", 4, "every cell, on what it has, then on its base", "nothing is divided above cells"),
        )
    ],
    Burst(
        "all power",
        ("nothing until a majority agrees", "each cell as soon as it agrees by itself"),
        ("all until then",) * 2,
        starting=ROUTERS,
        cold=ENGINES,
    ),
]

# Peaks of a burst: of whose control all that it costs at rest is counted, and which measure of it; what the
# burst adds, without the parts of which it has nothing; the kind of limit. Without a role: the formula alone.
RESTARTS, WARMING = slope("restart_bytes", "rate"), slope("report_bytes", "warming", "reports")
PEAKS: tuple[tuple[str, Role | None, str, Formula, str], ...] = (
    ("router, bytes/s", Role.ROUTER, "bytes", (*RESTARTS, *WARMING), "bytes"),
    (
        "divider, bytes/s",
        Role.DIVIDER,
        "bytes",
        (*RESTARTS, *slope("report_bytes", "warming", "reports", "routers")),
        "bytes",
    ),
    ("divider, processor", Role.DIVIDER, "cpu", (), "cpu"),
    ("divider, memory", Role.DIVIDER, "memory", slope("ledger_state", "warming_books"), "memory"),
    (
        "decisions, of a core",
        None,
        "cpu",
        (
            *slope("decide_known", "engines", "left_commands"),
            *slope("decide_new", "engines", "left_commands", "first"),
        ),
        "core",
    ),
    ("clients, memory", None, "memory", slope("client_state", "left_clients"), ""),
)
START_CPU: Formula = (Use((), (("start_cpu", "routers"),), ("routers",)),)  # of each
START_PEAK: Formula = (Use((), (("start_cpu", "routers"),), ("routers", "within")),)


# Seconds until each duty holds again. A step without a formula is missing.

DEATH, DIVIDED, STARTED = (
    slope("death_seconds", "routers"),
    slope("divide_seconds", "routers"),
    slope("start_seconds", "routers"),
)
# A start has no vote for a term, and uses no base until what its forerunner had out has ended.
PLACED: Formula = (*STARTED, *product("term"), *product("quiet"))
FIXED = {
    "told": TOLD,
    "lease": LEASE,
    "back": LEASE + SETTLE + QUIET,
    "quiet": QUIET,
    "at_once": 0.0,
    "term": TERM * (1 + DRIFT),
    "within": START_WITHIN,
}
Again = dict[str, Formula | str]  # a text where no time can be worked out
NOT_RUN: Formula = ()
NOBODY = "missing: nobody spreads one"
UNNAMED = "missing: none is named"


def again(burst: Burst, variant: Variant) -> Again:
    """By duties."""
    usual: Again = {
        "membership": DEATH,
        "list": product("told"),
        "budgets, cold, retry": (*DIVIDED, *product("back")),
        "configuration": NOBODY,
        "primaries": UNNAMED,
        "decisions": product("told"),
        "client connections": NOT_RUN,
    }
    if burst.seven:
        kept: Again = dict.fromkeys(usual, product("at_once"))
        if variant is FLAT:
            return kept
        above: Formula | str = NOT_RUN if 2 * burst.seven < MACHINES else "once most of the seven are back"
        return {**kept, "budgets, cold, retry": above, "configuration": above}
    if burst.starting:
        return {**usual, "membership": STARTED, "budgets, cold, retry": PLACED, "decisions": STARTED}
    if burst.cut:
        inside = "not inside the cut"
        return {**usual, "list": inside, "budgets, cold, retry": product("lease"), "configuration": inside}
    return usual


# A router that starts from nothing: what, bytes, from whom.
NEEDS: tuple[tuple[str, Formula | None, str], ...] = (
    ("its own configuration", None, "its disk; the source of configuration is missing"),
    ("who is there, and its place", slope("start_bytes", "routers"), "the routers that it knows"),
    ("the list", slope("list_bytes", "engines"), "the source of the list"),
    ("its parts of budgets", slope("report_bytes", "budgets"), "who divides"),
)


@dataclass(frozen=True)
class Step:
    """seconds: None where it is missing. of: the slope that is shown by size as measured."""

    name: str
    what: str
    seconds: Formula | None
    missing: str = ""


PRIMARY_STEPS = (
    Step("seen", "a death is known; a router's stands for an engine's, which nothing measures", DEATH),
    Step("agreed", "a division without it is active, counted from the death; it stands for a vote", DIVIDED),
    Step("told", "the list tells it, by the protocol", product("told")),
    Step("old one done", "what was out there has ended, by the protocol", product("quiet")),
    Step("new one serving", "homes are taken anew at each router", None, "no primary is named or confirmed"),
)
CONFIGURATION_STEPS = (
    Step("accepted", "one number for one text", None, "no source with numbers"),
    Step("spread", "at each router", None, "a file sent by hand, and SIGHUP"),
    Step("in force", "at 99% and at all", slope("hollow_config_seconds", "routers")),
    Step("confirmed", "the source knows that it is", None, "nobody counts"),
)

# While regions are cut.
CUT = (
    (
        "'everywhere' means",
        "the part with most routers; the others by their file, at once when each is sent it",
        "each region by itself, and the fleet once it is whole; who is behind is named",
    ),
    (
        "a primary may be changed by",
        "nobody by name: each router takes homes by its own list",
        "the leader of the cell that has the home, and nobody in another cell",
    ),
    (
        "versions meet again by",
        "the higher number of a file, by hand; of a whole the smaller one holds until all tell the larger",
        "the higher number of the plan, which a leader takes from the level above once it hears it",
    ),
)


@dataclass(frozen=True)
class Unheld:
    """What the target asks and today's can't do, with the words that say what it would take."""

    what: str
    takes: str
    rows: tuple[tuple[Role, Duty], ...] = field(default=())


UNHELD = (
    Unheld(
        "one group of the whole fleet",
        "cells",
        ((Role.ROUTER, Duty.MEMBERSHIP), (Role.DIVIDER, Duty.MEMBERSHIP)),
    ),
    Unheld(
        "the whole list at each router",
        "a list by cell, by serial, and by what changed",
        ((Role.ROUTER, Duty.LIST), (Role.LIST, Duty.LIST)),
    ),
    Unheld("each command weighed over all engines", "cells", ((Role.ROUTER, Duty.DECISIONS),)),
    Unheld(
        "a budget for each engine, divided among all",
        "cells, and reports only of what changed",
        ((Role.ROUTER, Duty.BUDGETS), (Role.DIVIDER, Duty.BUDGETS)),
    ),
    Unheld(
        "a configuration in force everywhere while regions are cut",
        "nothing can: it is in force in each region that hears it, and everywhere once they are whole",
    ),
    Unheld(
        "commands that may not run twice, on an engine that dies", "nothing can without the engine's own word"
    ),
)
