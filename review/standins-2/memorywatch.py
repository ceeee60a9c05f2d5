"""Ends processes that use more memory than their machine gives them."""

import re
import threading

POLL_SECONDS = 0.01
FIGURE = re.compile(r"^(VmHWM|RssAnon|RssFile|RssShmem):\s+(\d+) kB$", re.M)


def used_mb(status):
    """Returns the largest memory of a process's own so far, in MiB.

    The kernel keeps the peak of all memory; what belongs to files and libraries
    is taken off as it is now.
    """
    figures = {name: int(value) for name, value in FIGURE.findall(status)}
    if len(figures) < 4:
        return 0.0
    peak = figures["VmHWM"] - figures["RssFile"] - figures["RssShmem"]
    return max(peak, figures["RssAnon"]) / 1024


class MemoryWatch:
    """Kills and restarts the processes of a platform, as the pages say.

    Only memory of the process's own counts, not that of files and libraries.

    Attributes:
      peaks: largest memory of each machine's process so far, in MiB.
      ends: how often each machine's process was ended.
      paused: whether the case itself kills and starts processes now.
    """

    def __init__(self, platform, record, limit_mb, restart_seconds):
        self.platform = platform
        self.record = record
        self.limit_mb = limit_mb
        self.restart_seconds = restart_seconds
        self.peaks = {}
        self.ends = {}
        self.paused = threading.Lock()
        self.stopped = threading.Event()
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self):
        """Watches until it is stopped."""
        while not self.stopped.wait(POLL_SECONDS):
            with self.paused:
                for machine in list(self.platform.machines.values()):
                    self.check(machine)

    def check(self, machine):
        """Checks the process of one machine."""
        if not machine.is_running:
            return
        try:
            with open(f"/proc/{machine.process.pid}/status") as status:
                used = used_mb(status.read())
        except OSError:
            return
        self.peaks[machine.name] = max(self.peaks.get(machine.name, 0.0), used)
        if used <= self.limit_mb:
            return
        self.ends[machine.name] = self.ends.get(machine.name, 0) + 1
        self.record.write(
            "memory over the limit",
            machine=machine.name,
            used_mb=round(used),
            limit_mb=self.limit_mb,
        )
        self.platform.kill(machine)
        threading.Timer(self.restart_seconds, self.restart, [machine]).start()

    def restart(self, machine):
        """Starts the process of a machine again."""
        with self.paused:
            if not self.stopped.is_set() and not machine.is_running:
                self.platform.start(machine)

    def close(self):
        """Stops the watch; returns the largest memory of each machine."""
        self.stopped.set()
        self.thread.join()
        return {name: round(peak) for name, peak in self.peaks.items()}
