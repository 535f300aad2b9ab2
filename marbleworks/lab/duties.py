"""The control work of the fleet as data: roles, duties, their mechanisms, and what happens in bursts.

The module defines roles, duties, bursts, steps, and the formulas of what each costs. It contains no measured
figures, and each mechanism that works names the files that implement it. Texts in this module are written to
docs/CAPACITY.md.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from marbleworks.lab.target import (
    ABANDONED_ATTEMPT_TIMEOUT_S,
    CLIENTS,
    DAY,
    DRIFT,
    ENGINES,
    FAILED,
    LEASE,
    LIST_PROPAGATION_S,
    MACHINES,
    RACK_MACHINES,
    REGIONS,
    RESTART_FRACTION,
    RESTART_S,
    RESTARTED,
    ROUTERS,
    SETTLE,
    START_WITHIN,
    TERM,
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
    """Who does control work. The lower-case names are part of table names in the page."""

    ROUTER = "router"
    DIVIDER = "who divides in a group, or leads a cell"
    REGION = "level of a region"
    FLEET = "level of the fleet"
    MACHINE = "each of the seven machines"
    LIST = "source of the list"
    CONFIGURATION = "source of configuration"
    ENGINE = "an engine, for what control costs it"


class Duty(Enum):
    """A kind of work."""

    MEMBERSHIP = "membership"
    LIST = "list"
    BUDGETS = "budgets"
    SLOW_START = "cold ramps"
    RETRY = "retry budgets"
    CONFIGURATION = "configuration"
    PRIMARIES = "primaries"
    DECISIONS = "decisions"
    CLIENTS = "client connections"
    ADMISSION = "door"
    SPOOL = "spool"
    LOGS = "logs"


# Duties that count as control, in whose sums they are included.
CONTROL = (
    Duty.MEMBERSHIP,
    Duty.LIST,
    Duty.BUDGETS,
    Duty.SLOW_START,
    Duty.RETRY,
    Duty.CONFIGURATION,
    Duty.PRIMARIES,
)


class Status(Enum):
    """Whether a mechanism exists."""

    WORKS = "works"
    BUILT = "built now"
    MISSING = "missing"


@dataclass(frozen=True)
class Mechanism:
    """How a duty is carried out.

    Attributes:
        description: The mechanism in words.
        status: Whether it exists.
        files: Files of the package that implement it; none if it is missing.
        remedy: What it would take if it is missing or exceeds a limit.
    """

    description: str
    status: Status
    files: tuple[str, ...] = ()
    remedy: str = ""


@dataclass(frozen=True)
class Row:
    """A duty of a role in one variant of the fleet, with the formulas of its cost.

    A formula is None if no slope tells the cost.

    Attributes:
        role: Who has the duty.
        duty: The duty.
        variant: The flat fleet or the fleet in cells.
        mechanism: How the duty is carried out.
        state: The state that is kept, in words.
        messages: Messages per second, in the busier direction.
        bytes: Bytes per second, in the busier direction.
        cpu: Processor seconds per second.
        memory: Bytes of memory.
        awaited: Whether no part of the cost was measured; the page marks that.
    """

    role: Role
    duty: Duty
    variant: Variant
    mechanism: Mechanism
    state: str
    messages: Formula | None = None
    bytes: Formula | None = None
    cpu: Formula | None = None
    memory: Formula | None = None
    awaited: bool = False

    def formulas(self) -> dict[str, Formula]:
        """Returns the formulas by measure, without those that are None."""
        formulas = {"messages": self.messages, "bytes": self.bytes, "cpu": self.cpu, "memory": self.memory}
        return {what: formula for what, formula in formulas.items() if formula is not None}


# Mechanisms.

MEMBERSHIP_FILES = ("membership/failure_detector.py", "membership/leader_election.py")
NUMBERED_CONFIGURATION = "a numbered configuration that leaders pass on, in force from a moment that all know"
NAMED_PRIMARY = "one primary by name, which is told, gives up and is followed"
LIST_BY_CELL = "a list by cell; told only when it is newer"
BUDGET_FILES = ("budgets/local_budget.py", "budgets/allocation_ledger.py")
FLAT_MEMBERSHIP = Mechanism(
    "SWIM among all, one lease by votes of a majority",
    Status.WORKS,
    MEMBERSHIP_FILES,
    f"cells: a router knows its cell alone; a datagram numbers {MAX_ROUTERS:,} routers at most",
)
CELL_MEMBERSHIP = Mechanism(
    "the same in each cell; the plan and who makes it are decided in cells/, joined to no router",
    Status.MISSING,
    (),
    "cells/ joined to the router",
)
CELL_LEADER = Mechanism(
    "a cell's leader, by the cell's votes", Status.MISSING, (), "cells/ joined to the router"
)
FLAT_LIST = Mechanism(
    "the whole list asked by DNS over UDP, read only where it differs",
    Status.WORKS,
    ("net/discovery.py",),
    LIST_BY_CELL,
)
CELL_LIST = Mechanism("the list of a cell", Status.MISSING, (), LIST_BY_CELL)
FLAT_BUDGETS = Mechanism(
    "reports to the divider, leases from it",
    Status.WORKS,
    BUDGET_FILES,
    "cells: leases from fleet to region to cell to router; reports only of what changed",
)
CELL_BUDGETS = Mechanism(
    "reports to the cell's leader, leases from it",
    Status.MISSING,
    (),
    "cells/ joined to the router; reports only of what changed",
)
LEVEL_BUDGETS = Mechanism(
    "the books of each level, over the level below; decided in cells/, joined to no router",
    Status.MISSING,
    (),
    "cells/ joined to the router; a level of regions",
)
FLAT_SLOW_START = Mechanism(
    "sponsors by hash, more as it warms, or a budget for each cold engine",
    Status.WORKS,
    ("scheduling/slow_start.py", *BUDGET_FILES),
    "the same in each cell",
)
CELL_SLOW_START = Mechanism("the same in the engine's cell", Status.MISSING, (), "cells")
FLAT_RETRY_BUDGET = Mechanism(
    "the settings' ratio, or one budget", Status.WORKS, ("scheduling/retry_budget.py", *BUDGET_FILES), "cells"
)
LEASED_RETRY_BUDGET = Mechanism("one budget, leased down the levels", Status.MISSING, (), "the levels")
CONFIGURATION_RELOAD = Mechanism("a file and SIGHUP read anew", Status.WORKS, ("net/server.py",))
MANUAL_CONFIGURATION = Mechanism("a file by hand to each router", Status.MISSING, (), NUMBERED_CONFIGURATION)
CONFIGURATION_OVER_LEVELS = Mechanism(
    "configurations with numbers, spread over the levels", Status.MISSING, (), NUMBERED_CONFIGURATION
)
FLAT_HOMES = Mechanism(
    "homes of a table group by hash over the list, the same at each router; none named, no move by plan",
    Status.MISSING,
    ("scheduling/placement.py",),
    NAMED_PRIMARY,
)
CELL_HOMES = Mechanism(
    "one home, in one cell; decided in cells/, joined to no router", Status.MISSING, (), NAMED_PRIMARY
)
FLAT_DECISIONS = Mechanism(
    "one module over all engines listed", Status.WORKS, ("scheduling/scheduler.py",), "cells"
)
CELL_DECISIONS = Mechanism("the same over the cell's engines", Status.MISSING, (), "cells")
CLIENT_GREENLETS = Mechanism("one greenlet a connection", Status.WORKS, ("net/client_session.py",))
FAIR_QUEUES = Mechanism("fair queues by member", Status.WORKS, ("fair_queue/admission.py",))
LOCAL_SPOOL = Mechanism("a router's own disk; knows of no other", Status.WORKS, ("spool/service.py",))
FLAT_LOGS = Mechanism("lines of JSON, each router its own", Status.WORKS, ("net/actor.py",), "cells")
CELL_LOGS = Mechanism("the same, of its cell alone", Status.MISSING, (), "cells")
FLAT_ENGINE_CONNECTIONS = Mechanism(
    "connections from each router that sends", Status.WORKS, ("net/engine_client.py",), "cells"
)
CELL_ENGINE_CONNECTIONS = Mechanism("connections from the routers of its cell", Status.MISSING, (), "cells")


def _router_rows() -> list[Row]:
    variants = ((FLAT, 0), (CELLS, 1))
    rows = []
    for variant, n in variants:
        role, scope = Role.ROUTER, ("the fleet's", "the cell's")[n]
        rows += [
            Row(
                role,
                Duty.MEMBERSHIP,
                variant,
                (FLAT_MEMBERSHIP, CELL_MEMBERSHIP)[n],
                f"{scope} routers",
                slope("member_datagrams", "routers"),
                slope("member_bytes", "routers"),
                slope("member_cpu", "routers"),
                slope("member_state", "routers"),
            ),
            Row(
                role,
                Duty.LIST,
                variant,
                (FLAT_LIST, CELL_LIST)[n],
                f"{scope} engines",
                product("asks", "two"),
                slope("list_bytes", "engines", "asks"),
                (*slope("list_cpu", "engines", "seen"), *slope("listed_cpu", "engines", "seen")),
                slope("engine_state", "engines"),
            ),
            Row(
                role,
                Duty.BUDGETS,
                variant,
                (FLAT_BUDGETS, CELL_BUDGETS)[n],
                f"its parts at {scope} engines",
                product("reports", "datagrams"),
                slope("report_bytes", "budgets", "reports"),
                None,
                slope("purse_state", "budgets"),
            ),
            Row(
                role,
                Duty.SLOW_START,
                variant,
                (FLAT_SLOW_START, CELL_SLOW_START)[n],
                f"its parts at {scope} cold engines",
                product("reports", "cold_datagrams"),
                slope("report_bytes", "cold", "reports"),
                None,
                slope("purse_state", "cold"),
            ),
            Row(
                role,
                Duty.RETRY,
                variant,
                (FLAT_RETRY_BUDGET, LEASED_RETRY_BUDGET)[n],
                "its part of one budget",
                product("reports"),
                slope("report_bytes", "one", "reports"),
                None,
                slope("purse_state", "one"),
            ),
            Row(
                role,
                Duty.CONFIGURATION,
                variant,
                (CONFIGURATION_RELOAD, CONFIGURATION_OVER_LEVELS)[n],
                "one file",
                product("configurations"),
                None,
                slope("config_cpu", "tenants", "configurations"),
            ),
            Row(
                role,
                Duty.PRIMARIES,
                variant,
                (FLAT_HOMES, CELL_HOMES)[n],
                f"homes over {scope} engines",
                product("primaries"),
                None,
                slope("listed_cpu", "engines", "primaries"),
                product("home", "groups", "engines"),
            ),
            Row(
                role,
                Duty.DECISIONS,
                variant,
                (FLAT_DECISIONS, CELL_DECISIONS)[n],
                f"{scope} engines, commands out",
                product("commands"),
                None,
                (
                    *slope("decide_known", "engines", "commands"),
                    *slope("decide_new", "engines", "commands", "first"),
                ),
            ),
            Row(
                role,
                Duty.CLIENTS,
                variant,
                CLIENT_GREENLETS,
                "its clients' connections",
                product("commands"),
                None,
                slope("client_cpu", "clients"),
                slope("client_state", "clients"),
            ),
            Row(
                role,
                Duty.ADMISSION,
                variant,
                FAIR_QUEUES,
                "members known",
                memory=slope("door_state", "members"),
            ),
            Row(role, Duty.SPOOL, variant, LOCAL_SPOOL, "its own results", awaited=True),
            Row(
                role,
                Duty.LOGS,
                variant,
                (FLAT_LOGS, CELL_LOGS)[n],
                f"none; lines for each of {scope} changes",
                product("seen", "lines"),
                product("seen", "lines", "words"),
                awaited=True,
            ),
        ]
    return rows


def _leader_rows() -> list[Row]:
    rows = []
    for variant, n in ((FLAT, 0), (CELLS, 1)):
        role, scope = Role.DIVIDER, ("the fleet's", "the cell's")[n]
        rows.append(
            Row(
                role,
                Duty.MEMBERSHIP,
                variant,
                (FLAT_MEMBERSHIP, CELL_LEADER)[n],
                f"{scope} routers, their rights",
                slope("divider_datagrams", "routers"),
                slope("divider_bytes", "routers"),
                slope("divider_cpu", "routers"),
                slope("member_state", "routers"),
            )
        )
        for duty, mechanism, input_name, datagram_input, ledger_size, state_text in (
            (Duty.BUDGETS, (FLAT_BUDGETS, CELL_BUDGETS)[n], "budgets", "datagrams", "books", "budget"),
            (
                Duty.SLOW_START,
                (FLAT_SLOW_START, CELL_SLOW_START)[n],
                "cold",
                "cold_datagrams",
                "cold_books",
                "cold engine",
            ),
            (
                Duty.RETRY,
                (FLAT_RETRY_BUDGET, LEASED_RETRY_BUDGET)[n],
                "one",
                "one",
                "routers",
                "part of one budget",
            ),
        ):
            rows.append(
                Row(
                    role,
                    duty,
                    variant,
                    mechanism,
                    f"books: each {state_text} for each of {scope} routers",
                    slope("ledger_datagrams", "routers", datagram_input),
                    slope("report_bytes", input_name, "reports", "routers"),
                    slope("ledger_cpu", "routers", "reports", "routers", datagram_input),
                    slope("ledger_state", ledger_size),
                )
            )
    return rows


def _level_rows() -> list[Row]:
    rows = []
    for role, members, state_text in (
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
                    LEVEL_BUDGETS,
                    state_text,
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
                LEVEL_BUDGETS,
                state_text,
                slope("divider_datagrams", members),
                slope("divider_bytes", members),
                slope("divider_cpu", members),
                slope("member_state", members),
            )
        )
        books = "region_books" if role is Role.REGION else "fleet_books"
        for duty, mechanism, datagram_input, input_name, ledger_size in (
            (Duty.BUDGETS, LEVEL_BUDGETS, "shared_datagrams", "shared", books),
            (Duty.RETRY, LEASED_RETRY_BUDGET, "one", "one", members),
        ):
            rows.append(
                Row(
                    role,
                    duty,
                    CELLS,
                    mechanism,
                    f"books over {state_text}",
                    slope("ledger_datagrams", members, datagram_input),
                    slope("report_bytes", input_name, "reports", members),
                    slope("ledger_cpu", members, "reports", members, datagram_input),
                    slope("ledger_state", ledger_size),
                )
            )
    for role in (Role.REGION, Role.FLEET, Role.MACHINE):
        rows.append(
            Row(
                role,
                Duty.CONFIGURATION,
                CELLS,
                CONFIGURATION_OVER_LEVELS,
                "the newest configuration",
                awaited=True,
            )
        )
    return rows


def _source_rows() -> list[Row]:
    rows = []
    for variant, n in ((FLAT, 0), (CELLS, 1)):
        rows += [
            Row(
                Role.LIST,
                Duty.LIST,
                variant,
                (FLAT_LIST, CELL_LIST)[n],
                "all engines",
                product("asks", "two", "fleet"),
                slope("list_bytes", "engines", "asks", "fleet"),
            ),
            Row(
                Role.CONFIGURATION,
                Duty.CONFIGURATION,
                variant,
                (MANUAL_CONFIGURATION, CONFIGURATION_OVER_LEVELS)[n],
                "the newest",
                product("configurations", "fleet"),
                awaited=True,
            ),
            Row(
                Role.ENGINE,
                Duty.DECISIONS,
                variant,
                (FLAT_ENGINE_CONNECTIONS, CELL_ENGINE_CONNECTIONS)[n],
                f"connections from each of {('the fleet', 'its cell')[n]}'s routers: {('all', 'few')[n]}",
                product("routers"),
                awaited=True,
            ),
        ]
    return rows


ROWS = [*_router_rows(), *_leader_rows(), *_level_rows(), *_source_rows()]

# Duties that a role does not have, with the reason. The leader has all others as a router, and its sum
# includes them.
_NO_LEVEL = "none today: nothing stands above a flat group"
ROUTER_DUTIES = tuple(
    duty for duty in Duty if duty not in (Duty.MEMBERSHIP, Duty.BUDGETS, Duty.SLOW_START, Duty.RETRY)
)
_LEVEL_ABSENT = {
    Duty.LIST: "its cells' leaders tell sums, never engines",
    Duty.SLOW_START: "a cold engine is its cell's matter",
    Duty.PRIMARIES: "a home is its cell's matter",
    Duty.DECISIONS: "takes no commands",
    Duty.CLIENTS: "has no clients",
    Duty.ADMISSION: "has no clients",
    Duty.SPOOL: "takes no commands",
    Duty.LOGS: "counted with its machine, which has no run",
}
_MACHINE_ABSENT = {
    **_LEVEL_ABSENT,
    Duty.BUDGETS: "with the level that it holds",
    Duty.RETRY: "with the level that it holds",
}


def _absent_duties() -> dict[tuple[Role, Duty], str]:
    reasons: dict[tuple[Role, Duty], str] = {}
    for role in (Role.REGION, Role.FLEET):
        reasons |= {(role, duty): why for duty, why in _LEVEL_ABSENT.items()}
    reasons |= {(Role.MACHINE, duty): why for duty, why in _MACHINE_ABSENT.items()}
    for role, own_duties, why in (
        (Role.LIST, (Duty.LIST,), "tells the list and nothing else"),
        (Role.CONFIGURATION, (Duty.CONFIGURATION,), "tells configurations and nothing else"),
        (Role.ENGINE, (Duty.DECISIONS,), "of this code it sees commands and connections alone"),
    ):
        reasons |= {(role, duty): why for duty in Duty if duty not in own_duties}
    reasons |= {(Role.DIVIDER, duty): "as a router" for duty in ROUTER_DUTIES}
    return reasons


ABSENT = _absent_duties()

# Costs of all control work that one run measures together, which the page shows beside the sums by duty: who,
# variant, and the slopes of processor time, bytes per second and memory.
MEASURED_TOTALS = (
    ("router, mean", CELLS, "cell_cpu", "cell_bytes", "cell_state"),
    ("leader of a cell", CELLS, "cell_leader_cpu", "cell_leader_bytes", "cell_leader_state"),
    ("machine of the level above", CELLS, "level_cpu", "level_bytes", "level_state"),
    ("router, hollow, on datagrams", FLAT, "hollow_cpu", "hollow_bytes", "hollow_state"),
)


# Bursts.


@dataclass(frozen=True)
class Burst:
    """An event that changes many routers or engines at once.

    Attributes:
        name: Name of the burst.
        continues: What goes on, by variant.
        refused: What is refused, by variant.
        lost_routers: Routers that are lost at once.
        lost_engines: Engines that are lost at once.
        lost_clients: Client connections that are lost at once.
        restarts_per_s: Restarts per second in the fleet.
        starting_routers: Routers that start at once; all routers if the whole fleet starts.
        cut_routers: Routers without a majority of their group.
        cold_engines: Engines that are cold at once.
        lost_machines: Machines of the level above that are lost.
    """

    name: str
    continues: tuple[str, str]
    refused: tuple[str, str]
    lost_routers: float = 0.0
    lost_engines: float = 0.0
    lost_clients: float = 0.0
    restarts_per_s: float = 0.0
    starting_routers: float = 0.0
    cut_routers: float = 0.0
    cold_engines: float = 0.0
    lost_machines: int = 0

    def inputs(self, variant: Variant, usual_inputs: dict[str, float]) -> dict[str, float]:
        """Returns the inputs of formulas during the burst.

        These are the usual inputs, the load of one group or cell where the burst is spread evenly over all,
        and what the remaining routers take over.

        Args:
            variant: The variant of the fleet.
            usual_inputs: Inputs without the burst.
        """
        cells = usual_inputs["cells"]
        remaining_routers = ROUTERS - self.lost_routers
        restart_rate = self.restarts_per_s + (self.lost_routers + self.starting_routers) / START_WITHIN
        return {
            **usual_inputs,
            "left_clients": usual_inputs["clients"] + self.lost_clients / remaining_routers,
            "left_commands": usual_inputs["commands"] * ROUTERS / remaining_routers,
            "rate": restart_rate / cells,
            "warming": self.cold_engines / cells,
            "warming_books": self.cold_engines / cells * usual_inputs["routers"],
        }


_RACK_ROUTERS = RACK_MACHINES * ROUTERS / (ROUTERS + ENGINES)
_NOTHING = "nothing"
_ALL_SERVE = "all routers serve; what they held is divided anew"
BURSTS = [
    Burst(
        "an ordinary day",
        (_ALL_SERVE, _ALL_SERVE),
        ("commands on the dead engine that may not run twice",) * 2,
        lost_routers=1.0,
        lost_engines=1.0,
        restarts_per_s=(FAILED + RESTARTED) / DAY,
    ),
    Burst(
        "a rack or a switch",
        (_ALL_SERVE, "all cells, each with some routers and engines fewer"),
        ("commands out on its engines that may not run twice",) * 2,
        lost_routers=_RACK_ROUTERS,
        lost_engines=RACK_MACHINES - _RACK_ROUTERS,
    ),
    Burst(
        "a zone at once",
        (_ALL_SERVE, "all cells, each with a zone's part fewer"),
        ("commands out there that may not run twice; what is beyond the budgets that are left",) * 2,
        lost_routers=ZONE_ROUTERS,
        lost_engines=ZONE_ENGINES,
        lost_clients=ZONE_CLIENTS,
    ),
    Burst(
        "the zone's return",
        (_ALL_SERVE, "all cells; cold engines by their ramps"),
        ("commands for cold engines beyond their ramps",) * 2,
        starting_routers=ZONE_ROUTERS,
        cold_engines=ZONE_ENGINES,
    ),
    Burst(
        "restarts, a tenth of the fleet at a time",
        (_ALL_SERVE, "all cells, each with a tenth fewer"),
        ("nothing that may go to another router",) * 2,
        lost_routers=RESTART_FRACTION * ROUTERS,
        lost_engines=RESTART_FRACTION * ENGINES,
        lost_clients=RESTART_FRACTION * CLIENTS,
        restarts_per_s=RESTART_FRACTION * ROUTERS / RESTART_S,
        starting_routers=RESTART_FRACTION * ROUTERS,
        cold_engines=RESTART_FRACTION * ENGINES,
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
        cut_routers=ROUTERS / REGIONS,
    ),
    Burst(
        "the region's return",
        ("views meet by probes of those gone", "leases from the fleet begin again"),
        (_NOTHING, _NOTHING),
        starting_routers=ROUTERS / REGIONS,
    ),
    *[
        Burst(
            f"{count} of the seven machines lost",
            ("all: nothing stands on them today", continues),
            (_NOTHING, refused),
            lost_machines=lost,
        )
        for count, lost, continues, refused in (
            ("one", 1, "all: a majority is left", _NOTHING),
            ("three", 3, "all: a majority is left", _NOTHING),
            ("four", 4, "every cell, on what it has, then on its base", "nothing is divided above cells"),
        )
    ],
    Burst(
        "all power",
        ("nothing until a majority agrees", "each cell as soon as it agrees by itself"),
        ("all until then",) * 2,
        starting_routers=ROUTERS,
        cold_engines=ENGINES,
    ),
]

# Peaks of a burst: a name; the role whose control cost without the burst is included, if any; the measure;
# the formula of what the burst adds, of which terms with an input of 0 are left out; the kind of limit.
RESTART_BYTES, WARMING_BYTES = slope("restart_bytes", "rate"), slope("report_bytes", "warming", "reports")
PEAKS: tuple[tuple[str, Role | None, str, Formula, str], ...] = (
    ("router, bytes/s", Role.ROUTER, "bytes", (*RESTART_BYTES, *WARMING_BYTES), "bytes"),
    (
        "divider, bytes/s",
        Role.DIVIDER,
        "bytes",
        (*RESTART_BYTES, *slope("report_bytes", "warming", "reports", "routers")),
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
START_CPU: Formula = (Use((), (("start_cpu", "routers"),), ("routers",)),)  # of each router
START_PEAK: Formula = (Use((), (("start_cpu", "routers"),), ("routers", "within")),)


# Seconds until each duty is fulfilled again after a burst.

DEATH_KNOWN, QUOTA_DIVIDED, GROUP_STARTED = (
    slope("death_seconds", "routers"),
    slope("divide_seconds", "routers"),
    slope("start_seconds", "routers"),
)
# A router that starts has no vote for a term, and uses no guaranteed quota until the requests of its former
# process have ended.
QUOTA_AFTER_START: Formula = (*GROUP_STARTED, *product("term"), *product("quiet"))
CONSTANT_INPUTS = {
    "told": LIST_PROPAGATION_S,
    "lease": LEASE,
    "back": LEASE + SETTLE + ABANDONED_ATTEMPT_TIMEOUT_S,
    "quiet": ABANDONED_ATTEMPT_TIMEOUT_S,
    "at_once": 0.0,
    "term": TERM * (1 + DRIFT),
    "within": START_WITHIN,
}
RecoveryTimes = dict[str, Formula | str]  # by duties; a text where no time can be worked out
NOT_RUN: Formula = ()
NO_CONFIGURATION_SOURCE = "missing: nobody spreads one"
NO_NAMED_PRIMARY = "missing: none is named"


def recovery_times(burst: Burst, variant: Variant) -> RecoveryTimes:
    """Returns the time until each duty is fulfilled again after a burst."""
    usual: RecoveryTimes = {
        "membership": DEATH_KNOWN,
        "list": product("told"),
        "budgets, cold, retry": (*QUOTA_DIVIDED, *product("back")),
        "configuration": NO_CONFIGURATION_SOURCE,
        "primaries": NO_NAMED_PRIMARY,
        "decisions": product("told"),
        "client connections": NOT_RUN,
    }
    if burst.lost_machines:
        unaffected: RecoveryTimes = dict.fromkeys(usual, product("at_once"))
        if variant is FLAT:
            return unaffected
        above_cells: Formula | str = (
            NOT_RUN if 2 * burst.lost_machines < MACHINES else "once most of the seven are back"
        )
        return {**unaffected, "budgets, cold, retry": above_cells, "configuration": above_cells}
    if burst.starting_routers:
        return {
            **usual,
            "membership": GROUP_STARTED,
            "budgets, cold, retry": QUOTA_AFTER_START,
            "decisions": GROUP_STARTED,
        }
    if burst.cut_routers:
        inside = "not inside the cut"
        return {**usual, "list": inside, "budgets, cold, retry": product("lease"), "configuration": inside}
    return usual


# What a router needs when it starts from nothing: what, bytes, source.
START_NEEDS: tuple[tuple[str, Formula | None, str], ...] = (
    ("its own configuration", None, "its disk; the source of configuration is missing"),
    ("who is there, and its place", slope("start_bytes", "routers"), "the routers that it knows"),
    ("the list", slope("list_bytes", "engines"), "the source of the list"),
    ("its parts of budgets", slope("report_bytes", "budgets"), "who divides"),
)


@dataclass(frozen=True)
class Step:
    """A step of a change.

    Attributes:
        name: Name of the step.
        what: What happens in it.
        seconds: Its duration; None if the step is missing.
        missing: What is missing.
    """

    name: str
    what: str
    seconds: Formula | None
    missing: str = ""


PRIMARY_STEPS = (
    Step("seen", "a death is known; a router's stands for an engine's, which nothing measures", DEATH_KNOWN),
    Step(
        "agreed",
        "a division without it is active, counted from the death; it stands for a vote",
        QUOTA_DIVIDED,
    ),
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

# Behaviour while regions are cut off: the question, and the answer for the flat fleet and for cells.
PARTITION_BEHAVIOR = (
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
class UnmetRequirement:
    """A requirement of the target that the present design can't meet.

    Attributes:
        what: The requirement.
        remedy: What it would take.
        rows: Roles and duties whose ratio shows it.
    """

    what: str
    remedy: str
    rows: tuple[tuple[Role, Duty], ...] = field(default=())


UNMET_REQUIREMENTS = (
    UnmetRequirement(
        "one group of the whole fleet",
        "cells",
        ((Role.ROUTER, Duty.MEMBERSHIP), (Role.DIVIDER, Duty.MEMBERSHIP)),
    ),
    UnmetRequirement(
        "the whole list at each router",
        "a list by cell, by serial, and by what changed",
        ((Role.ROUTER, Duty.LIST), (Role.LIST, Duty.LIST)),
    ),
    UnmetRequirement("each command weighed over all engines", "cells", ((Role.ROUTER, Duty.DECISIONS),)),
    UnmetRequirement(
        "a budget for each engine, divided among all",
        "cells, and reports only of what changed",
        ((Role.ROUTER, Duty.BUDGETS), (Role.DIVIDER, Duty.BUDGETS)),
    ),
    UnmetRequirement(
        "a configuration in force everywhere while regions are cut",
        "nothing can: it is in force in each region that hears it, and everywhere once they are whole",
    ),
    UnmetRequirement(
        "commands that may not run twice, on an engine that dies", "nothing can without the engine's own word"
    ),
)
