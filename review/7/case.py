"""A control machine that was replaced while down never joins again.

Five control machines bear the loss of two. One is replaced as planned; another
one is down for 3.5 s meanwhile, and all control processes are killed once and
are back within a second. Everything is back and has had its time to catch up.
Then two disks are lost at once, as the pages allow.

With TROUBLE=0 the one machine isn't down; all else is the same.
"""

import os
import pathlib
import sys
import time

import operatorstandin
import platformstandin

FOLDER = pathlib.Path(__file__).resolve().parent
CATCH_UP = platformstandin.CATCH_UP_SECONDS + 0.5
DOWN_SECONDS = 3.5
RECOVERY_SECONDS = 15.0
FIRST_SECONDS = 30.0


def start_first(platform, operator):
    """Starts five control machines; the first manifest is acknowledged."""
    machines = [
        platform.add(f"core-{number}", platformstandin.CONTROL_ROLE)
        for number in range(1, 6)
    ]
    platform.seed_names = ["core-1", "core-2", "core-3"]
    for machine in machines:
        platform.start(machine)
    if not operator.replace(
        operatorstandin.manifest(["archive"]), FIRST_SECONDS
    ):
        raise platformstandin.CannotRunError("no first manifest")
    platform.first_start = False
    time.sleep(CATCH_UP)
    return machines


def kill_all(platform):
    """Kills all control processes at once; they are back within a second."""
    running = [each for each in platform.machines.values() if each.is_running]
    for machine in running:
        platform.kill(machine)
    time.sleep(platformstandin.RESTART_SECONDS)
    for machine in running:
        platform.start(machine)


def replace_one(platform, machines, trouble):
    """Replaces the first machine, with the trouble meanwhile."""
    replaced, other = machines[0], machines[4]
    successor = platform.add("core-6", platformstandin.CONTROL_ROLE)
    platform.start(successor)
    time.sleep(1.0)
    down_at = time.monotonic()
    if trouble:
        platform.kill(other)
    time.sleep(2.3)
    kill_all(platform)
    time.sleep(max(down_at + DOWN_SECONDS - time.monotonic(), 0.0))
    if trouble:
        platform.start(other)
    time.sleep(CATCH_UP)
    platform.terminate(replaced)
    platform.seed_names = ["core-2", "core-3", "core-4"]
    time.sleep(2 * CATCH_UP)


def lose_two_disks(platform, machines):
    """Two machines lose their disks, and are back a second later."""
    for machine in machines:
        platform.kill(machine)
        platform.wipe(machine)
    time.sleep(1.0)
    for machine in machines:
        platform.start(machine)


def log_votes(platform, record):
    """Records what the control machines logged of their group."""
    for machine in platform.machines.values():
        for line in platform.log_lines(machine):
            kind = line.get("message_type", "")
            if kind in ("group: voter changes", "group: became leader"):
                facts = {
                    name: line[name]
                    for name in ("host", "voters", "term")
                    if name in line
                }
                record.write("log", machine=machine.name, kind=kind, **facts)


class TestReplacedWhileDown:
    """Two lost disks after a replacement, all machines being back."""

    def test_the_manifest_outlives_two_lost_disks(
        self, platform, operator, record, trouble
    ):
        """Runs the case; returns whether the rule held."""
        machines = start_first(platform, operator)
        replace_one(platform, machines, trouble)
        if not operator.replace(
            operatorstandin.manifest(["archive", "booking"]), FIRST_SECONDS
        ):
            raise platformstandin.CannotRunError("no second manifest")
        status, _ = operator.describe(FIRST_SECONDS)
        if status != 200:
            raise platformstandin.CannotRunError("the manifest cannot be read")
        lose_two_disks(platform, machines[1:3])
        status, found = operator.describe(RECOVERY_SECONDS + CATCH_UP)
        log_votes(platform, record)
        return status == 200 and found == operator.manifest


def main():
    """Runs the case; returns the exit code."""
    trouble = os.environ.get("TROUBLE") != "0"
    record = platformstandin.Record(FOLDER / "record.txt")
    platform = platformstandin.Platform(record)
    operator = operatorstandin.Operator(platform, record)
    try:
        held = (
            TestReplacedWhileDown().test_the_manifest_outlives_two_lost_disks(
                platform, operator, record, trouble
            )
        )
    except (platformstandin.CannotRunError, OSError) as error:
        record.write("cannot run", why=str(error))
        return 2
    finally:
        platform.close()
    record.write("rule held" if held else "rule broken", trouble=trouble)
    return 0 if held else 1


if __name__ == "__main__":
    sys.exit(main())
