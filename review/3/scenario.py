"""Bad clients send hundreds of requests that are taken back at once, beside the usual clients."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import tempfile
from pathlib import Path

from standins.client import Answer, AnswerKind, Client
from standins.directory import Directory, ListedEngine, known_list
from standins.engine import EffectGroup, Engine
from standins.record import Record
from standins.router import Router, RouterNotReadyError
from standins.settings import deployment_settings, request_class

ZONE = "hall-a"
ENGINES = 4
USUAL_CLIENTS = 8
PAUSE_S = 0.1  # of a usual client between two requests
WAITS_S = (2.0, 4.0, 6.0)
QUIET_S = 3.0
FLOOD_S = 20.0
AFTERMATH_S = 7.0
BAD_PROCESSES = 2
BAD_CLIENTS = 30  # at a time, in each of these processes
BAD_REQUESTS = 900  # of each bad client
MEMORY_MB = 192  # the platform kills a router that takes more
MEMORY_CHECK_S = 0.2
EXIT_HELD, EXIT_NOT_RUN, EXIT_BROKEN = 0, 2, 3  # not 1, with which the interpreter ends after an error
LOST = (AnswerKind.NO_ANSWER, AnswerKind.UNREACHABLE)


async def be_usual(client: Client, address: tuple[str, int], seconds: float) -> list[Answer]:
    """Sends one request after the other and returns how each has ended, until one is lost."""
    loop = asyncio.get_running_loop()
    ends_at = loop.time() + seconds
    await client.connect(address)
    answers: list[Answer] = []
    while loop.time() < ends_at:
        number = len(answers)
        statement = f"select 1 from sales_{number % 7}.orders -- 30 ms"
        _, answer = await client.query("date-lookup", statement, WAITS_S[number % len(WAITS_S)], 30.0)
        answers.append(answer)
        if answer.kind in LOST:
            break
        await asyncio.sleep(PAUSE_S)
    client.close()
    return answers


async def flood(router: Router, record: Record) -> None:
    """Runs the bad clients for a while, in processes of their own."""
    await asyncio.sleep(QUIET_S)
    record.add("bad-clients", "begin")
    script = str(Path(__file__).with_name("bad_clients.py"))
    host, port = router.address
    arguments = [host, str(port), str(BAD_CLIENTS), str(BAD_REQUESTS), str(FLOOD_S)]
    processes = [
        await asyncio.create_subprocess_exec(sys.executable, script, *arguments) for _ in range(BAD_PROCESSES)
    ]
    try:
        codes = [await process.wait() for process in processes]
        record.add("bad-clients", "not-started" if any(codes) else "end")
    finally:
        for process in processes:
            if process.returncode is None:
                process.kill()
                await process.wait()


def resident_mb(pid: int) -> float:
    """Returns the memory of a process in MB; 0 if it has ended."""
    try:
        pages = int(Path(f"/proc/{pid}/statm").read_text("ascii").split()[1])
    except (OSError, IndexError):
        return 0.0
    return pages * os.sysconf("SC_PAGE_SIZE") / 1e6


async def limit_memory(router: Router, record: Record) -> None:
    """Kills the router, as the platform does, once it takes more than its limit."""
    assert router.process is not None
    peak_mb = 0.0
    try:
        while router.process.returncode is None:
            used_mb = resident_mb(router.process.pid)
            peak_mb = max(peak_mb, used_mb)
            if used_mb > MEMORY_MB:
                record.add(router.name, "killed-for-memory", "", f"{used_mb:.0f} MB")
                router.process.kill()
            await asyncio.sleep(MEMORY_CHECK_S)
    finally:
        record.add(router.name, "peak-memory", "", f"{peak_mb:.0f} MB")


async def run(folder: Path, record: Record, has_trouble: bool) -> list[Answer]:
    """Runs a router, its engines and the clients, and returns how the usual clients' requests have ended.

    Raises:
        RouterNotReadyError: The router did not become ready.
    """
    group = EffectGroup("all", 15.0)
    engines = [Engine(f"s-{number}", ZONE, 0, group, record) for number in range(ENGINES)]
    listed = [ListedEngine(engine.name, ZONE, 0, engine.address) for engine in engines]
    directory = Directory(listed)
    await directory.start()
    for engine in engines:
        engine.start()
    config = {
        "nameserver": f"{directory.address[0]}:{directory.address[1]}",
        "known": known_list(listed, directory.revision),
        "settings": deployment_settings([request_class("date-lookup", "read_like")], [ZONE], []),
    }
    router = Router("n1", folder, record, config)
    background: list[asyncio.Task[None]] = []
    try:
        await router.start()
        background.append(asyncio.create_task(limit_memory(router, record)))
        if has_trouble:
            background.append(asyncio.create_task(flood(router, record)))
        clients = [Client(f"client-{number}", record) for number in range(USUAL_CLIENTS)]
        seconds = QUIET_S + FLOOD_S + AFTERMATH_S
        ends = await asyncio.gather(*(be_usual(client, router.address, seconds) for client in clients))
        return [answer for answers in ends for answer in answers]
    finally:
        for task in background:
            task.cancel()
        await asyncio.gather(*background, return_exceptions=True)
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
            answers = asyncio.run(run(Path(folder), record, has_trouble))
        except (RouterNotReadyError, OSError) as err:
            record.write(record_path, [f"not run: {err!r}"])
            return EXIT_NOT_RUN
    if record.of_action("not-started"):
        record.write(record_path, ["not run: a process of bad clients failed"])
        return EXIT_NOT_RUN
    counts = {kind: sum(answer.kind is kind for answer in answers) for kind in AnswerKind}
    kills = record.of_action("killed-for-memory")
    lost = sum(counts[kind] for kind in LOST)
    verdict = [
        f"disruption: {'on' if has_trouble else 'off'}",
        "usual clients: " + ", ".join(f"{count} {kind.value}" for kind, count in counts.items() if count),
        f"lost requests of usual clients: {lost}",
        f"peak memory: {record.of_action('peak-memory')[0].detail}",
        f"router killed for memory: {'yes' if kills else 'no'}",
    ]
    record.write(record_path, verdict)
    sys.stdout.write("\n".join(verdict) + "\n")
    return EXIT_BROKEN if lost or kills else EXIT_HELD


if __name__ == "__main__":
    sys.exit(main())
