"""A zone is partitioned while loads with an idempotency key run in it; the key is known in one zone only."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import tempfile
from pathlib import Path

from standins.client import Client
from standins.directory import Directory, ListedEngine, known_list
from standins.engine import EffectGroup, Engine
from standins.record import Record, RecordedEvent
from standins.router import Router, RouterNotReadyError
from standins.settings import deployment_settings, request_class

ZONES = ["hall-a", "hall-b"]
ENGINES_PER_ZONE = 2
KEY_WINDOW_S = 15.0
LOAD_WAIT_S = 25.0
LOAD_MS = 400
QUIET_S = 5.0  # before the partition
PARTITION_S = 6.0  # the page's figure
AFTERMATH_S = 10.0
LOADS_PER_S = 8
LOOKUPS_PER_S = 10
EXIT_HELD, EXIT_NOT_RUN, EXIT_BROKEN = 0, 2, 3  # not 1, with which the interpreter ends after an error


def make_engines(record: Record) -> list[Engine]:
    """Returns the engines of both zones; those of a zone share the keys that they have seen."""
    engines = []
    for cell, zone in enumerate(ZONES):
        group = EffectGroup(zone, KEY_WINDOW_S)
        engines += [
            Engine(f"{zone}-{number}", zone, cell, group, record) for number in range(ENGINES_PER_ZONE)
        ]
    return engines


async def send_load(client: Client, number: int) -> None:
    """Sends one load; each has a table group of its own."""
    statement = f"insert into plan_{number}.moves select 1 -- {LOAD_MS} ms"
    await client.query("booking-load", statement, LOAD_WAIT_S, 2.0 * LOAD_MS)


async def send_lookup(client: Client, number: int) -> None:
    """Sends one lookup."""
    await client.query("date-lookup", f"select 1 from sales_{number % 7}.orders -- 40 ms", 4.0, 40.0)


async def send_traffic(client: Client, seconds: float) -> None:
    """Sends loads and lookups at a steady rate, then waits until all have ended."""
    loop = asyncio.get_running_loop()
    began = loop.time()
    tasks = []
    for step in range(int(seconds * LOOKUPS_PER_S)):
        await asyncio.sleep(max(began + step / LOOKUPS_PER_S - loop.time(), 0.0))
        tasks.append(loop.create_task(send_lookup(client, step)))
        if step * LOADS_PER_S % LOOKUPS_PER_S < LOADS_PER_S:
            tasks.append(loop.create_task(send_load(client, 100 + step)))
    await asyncio.gather(*tasks)


async def partition(engines: list[Engine]) -> None:
    """Cuts the second zone off for a while; its engines go on working."""
    await asyncio.sleep(QUIET_S)
    cut = [engine for engine in engines if engine.zone == ZONES[1]]
    for engine in cut:
        engine.cut_off()
    await asyncio.sleep(PARTITION_S)
    for engine in cut:
        engine.reconnect()


def zone_of(event: RecordedEvent) -> str:
    """Returns the zone of the engine that saw an event."""
    return event.place.rpartition("-")[0]


def violations(record: Record) -> list[str]:
    """Returns where a load was sent outside the zone of its first attempt, or took effect twice."""
    never_ran = {(event.place, event.request_id) for event in record.of_action("refused")}
    zones_by_load: dict[str, list[str]] = {}
    for event in record.of_action("received"):
        is_load = event.detail.startswith("booking-load")
        if is_load and (event.place, event.request_id) not in never_ran:
            zones_by_load.setdefault(event.request_id, []).append(zone_of(event))
    applied: dict[str, list[str]] = {}
    for event in record.of_action("applied"):
        if event.detail.startswith("booking-load"):
            applied.setdefault(event.request_id, []).append(zone_of(event))
    found = [
        f"load {request_id} was received in {zones}, outside the zone of its first attempt"
        for request_id, zones in zones_by_load.items()
        if any(zone != zones[0] for zone in zones)
    ]
    found += [
        f"load {request_id} took effect {len(zones)} times: {zones}"
        for request_id, zones in applied.items()
        if len(zones) > 1
    ]
    return found


async def run(folder: Path, record: Record, has_trouble: bool) -> None:
    """Runs a router, its engines and a client.

    Raises:
        RouterNotReadyError: The router did not become ready.
    """
    engines = make_engines(record)
    listed = [ListedEngine(engine.name, engine.zone, engine.cell, engine.address) for engine in engines]
    directory = Directory(listed)
    await directory.start()
    for engine in engines:
        engine.start()
    classes = [
        request_class("date-lookup", "read_like", deadline_ms=4000.0, slo_ms=750.0),
        request_class(
            "booking-load",
            "idempotency_key",
            key_scope="zone",
            window_ms=1000.0 * KEY_WINDOW_S,
            deadline_ms=1000.0 * LOAD_WAIT_S,
            slo_ms=3000.0,
            aim_stretch=3.0,
            credit=5.0,
        ),
    ]
    config = {
        "nameserver": f"{directory.address[0]}:{directory.address[1]}",
        "known": known_list(listed, directory.revision),
        "settings": deployment_settings(classes, ZONES, ["booking-load"]),
    }
    router = Router("n1", folder, record, config)
    client = Client("client", record)
    try:
        await router.start()
        await client.connect(router.address)
        traffic = send_traffic(client, QUIET_S + PARTITION_S + AFTERMATH_S)
        await asyncio.gather(traffic, *([partition(engines)] if has_trouble else []))
    finally:
        client.close()
        if router.process is not None:
            await router.end(signal.SIGTERM)
        for engine in engines:
            engine.close()
        directory.close()


def main() -> int:
    """Runs the scenario and returns the exit code."""
    record = Record()
    record_path = Path(__file__).with_name("record.txt")
    has_trouble = os.environ.get("TROUBLE") != "0"
    with tempfile.TemporaryDirectory() as folder:
        try:
            asyncio.run(run(Path(folder), record, has_trouble))
        except (RouterNotReadyError, OSError) as err:
            record.write(record_path, [f"not run: {err!r}"])
            return EXIT_NOT_RUN
    found = violations(record)
    applied = sum(event.detail.startswith("booking-load") for event in record.of_action("applied"))
    verdict = [
        f"disruption: {'on' if has_trouble else 'off'}",
        f"loads that took effect: {applied}",
        f"violations: {len(found)}",
        *found,
    ]
    record.write(record_path, verdict)
    sys.stdout.write("\n".join(verdict) + "\n")
    return EXIT_BROKEN if found else EXIT_HELD


if __name__ == "__main__":
    sys.exit(main())
