"""Starts and ends processes, each by its id, and talks to their pages."""

import json
import subprocess
import time
import urllib.error
import urllib.request

STOP_SECONDS = 8
HTTP_SECONDS = 5


class StartFailed(Exception):
    """A process ended or stayed silent where it should serve."""


class Processes:
    """Every process that a run started; ends them all when left."""

    def __init__(self, directory):
        self.directory = directory
        self.running = {}

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.stop_all()

    def start(self, name, arguments):
        """Starts a process whose output goes to a file named after it."""
        with open(f"{self.directory}/{name}.log", "ab") as log:
            process = subprocess.Popen(arguments, stdout=log, stderr=log,
                                       cwd=self.directory)
        self.running[name] = process
        return process

    def kill(self, name):
        """Ends a process without notice."""
        process = self.running.pop(name)
        process.kill()
        process.wait()

    def stop_all(self):
        """Asks every process to end, and ends those that do not."""
        for process in self.running.values():
            process.terminate()
        limit = time.monotonic() + STOP_SECONDS
        for process in self.running.values():
            try:
                process.wait(max(0.1, limit - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        self.running = {}

    def check(self, name):
        """Raises with the process's last words if it has ended."""
        code = self.running[name].poll()
        if code is not None:
            raise StartFailed(f"{name} ended with {code}: {self.last_line(name)}")

    def last_line(self, name):
        """The last line that the process printed."""
        with open(f"{self.directory}/{name}.log", encoding="utf-8", errors="replace") as log:
            lines = log.read().strip().splitlines()
        return lines[-1] if lines else ""


def get_json(port, path):
    """The JSON page at a local port; None if it does not answer."""
    try:
        url = f"http://127.0.0.1:{port}{path}"
        with urllib.request.urlopen(url, timeout=HTTP_SECONDS) as answer:
            return json.load(answer)
    except (urllib.error.URLError, OSError, ValueError):
        return None


def post_json(port, path, body):
    """Posts JSON to a local port."""
    request = urllib.request.Request(f"http://127.0.0.1:{port}{path}",
                                     data=json.dumps(body).encode(), method="POST")
    with urllib.request.urlopen(request, timeout=HTTP_SECONDS) as answer:
        answer.read()


def wait_until(ready, seconds, what):
    """Polls until ready() is true."""
    limit = time.monotonic() + seconds
    while not ready():
        if time.monotonic() > limit:
            raise StartFailed(f"timeout: {what}")
        time.sleep(0.05)
