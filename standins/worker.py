"""Simulated worker that runs tasks under leases.

A task advances in small steps until it reaches its declared run time; a task with run
time 0 is a watcher and never completes. Progress is checkpointed to the object store.
"""

import json
import threading
import time
import uuid
from dataclasses import asdict, dataclass, field

from returns.result import Success

from bergamotshore.adapters.objects import HttpObjectStore
from standins.serving import Answer, StandIn, build_parser, run, start_thread

STEP_SECONDS = 0.02
OBJECT_TIMEOUT_SECONDS = 2.0
THREADS = 16


@dataclass(slots=True)
class TaskAttempt:
    """State of one task attempt.

    :param job: Job as team/name.
    :param index: Index of the task.
    :param attempt: Attempt number.
    :param state: 'running', 'completed', 'failed' or 'stopped'.
    :param spec: Declared resources and run time.
    :param progress: Work done, in seconds.
    :param checkpoint: Key of the newest checkpoint object.
    :param result: Key of the result object, once completed.
    :param checkpointed_at: Time of the newest checkpoint.
    """

    job: str
    index: int
    attempt: int
    state: str
    spec: dict = field(default_factory=dict)
    progress: float = 0.0
    checkpoint: str = ""
    result: str = ""
    checkpointed_at: float = 0.0

    @property
    def name(self):
        """Return the task name without the attempt number."""
        return f"{self.job}/{self.index}"


@dataclass(slots=True)
class AttemptRecord:
    """History of one task attempt, returned by ``/counts``.

    :param task: Task as team/name/index.
    :param attempt: Attempt number.
    :param started: Start time on the machine's boot-time clock.
    :param resumed_from: Progress at the start, in seconds.
    :param ended: End time on that clock; None while it runs.
    :param end: Final state.
    :param progress: Progress at the end, in seconds.
    """

    task: str
    attempt: int
    started: float
    resumed_from: float
    ended: float | None = None
    end: str = ""
    progress: float = 0.0


class WorkerStandIn(StandIn):
    """Run tasks and record their attempts.

    :param objects: ``ObjectStore`` for checkpoints and results.
    :param processors: Number of processors.
    :param memory_gb: Memory, in GB.
    :param checkpoint_every: Time between checkpoints, in seconds.
    """

    def __init__(self, objects, processors, memory_gb, checkpoint_every):
        super().__init__()
        self.objects = objects
        self.processors = processors
        self.memory_gb = memory_gb
        self.checkpoint_every = checkpoint_every
        self.boot = uuid.uuid4().hex[:12]
        self.fail_all_tasks = False
        self._lock = threading.RLock()
        self._task_by_key = {}
        self._records_by_key = {}
        self._lease_end = 0.0
        self._max_processors = 0.0
        start_thread(self._run_tasks)

    def handle(self, method, path, body, environ):
        """Answer a call to the worker interface."""
        call = json.loads(body) if body else {}
        match path:
            case "/v1/status":
                return self._describe()
            case "/v1/start":
                return self._start(call)
            case "/v1/renew":
                self._lease_end = max(self._lease_end, call["lease_end"])
                return Answer(200, {})
            case "/v1/stop":
                return self._stop(call)
            case "/v1/forget":
                return self._forget(call)
            case "/counts":
                return self._get_counts()
            case "/fail":
                self.fail_all_tasks = call["everything"]
                return Answer(200, {})
        return Answer(404, {"error": "no such call"})

    def _describe(self):
        with self._lock:
            tasks = [_encode_task(task) for task in self._task_by_key.values()]
        return Answer(
            200,
            {
                "boot": self.boot,
                "processors": self.processors,
                "memory_gb": self.memory_gb,
                "tasks": tasks,
            },
        )

    def _start(self, call):
        key = _get_key(call["attempt"])
        progress = self._load_progress(call["checkpoint"])
        if progress is None:
            return Answer(409, {"error": "checkpoint not read"})
        with self._lock:
            if key in self._task_by_key:
                return Answer(409, {"error": "attempt known"})
            self._lease_end = max(self._lease_end, call["lease_end"])
            now = _now()
            task = TaskAttempt(
                *key, "running", call["spec"], progress, call["checkpoint"], "", now
            )
            self._task_by_key[key] = task
            self._records_by_key[key] = AttemptRecord(
                task.name, task.attempt, now, progress
            )
            used = sum(
                item.spec["processors"]
                for item in self._task_by_key.values()
                if item.state == "running"
            )
            self._max_processors = max(self._max_processors, used)
        return Answer(200, {})

    def _load_progress(self, checkpoint):
        if not checkpoint:
            return 0.0
        match self.objects.get(checkpoint):
            case Success(content):
                return json.loads(content)["progress"]
        return None

    def _stop(self, call):
        key = _get_key(call["attempt"])
        with self._lock:
            task = self._task_by_key.get(key)
            if task is None:
                task = TaskAttempt(*key, "stopped")
                self._task_by_key[key] = task
            if task.state == "running":
                if call["checkpoint"]:
                    self._save_checkpoint(task)
                self._finish(task, "stopped")
            return Answer(200, _encode_task(task))

    def _forget(self, call):
        key = _get_key(call["attempt"])
        with self._lock:
            task = self._task_by_key.get(key)
            if task is not None and task.state == "running":
                return Answer(409, {"error": "still running"})
            self._task_by_key.pop(key, None)
        return Answer(200, {})

    def _save_checkpoint(self, task):
        key = f"checkpoint/{task.name}/{task.attempt}-{uuid.uuid4().hex[:8]}"
        content = json.dumps({"progress": task.progress}).encode()
        task.checkpointed_at = _now()
        if isinstance(self.objects.put(key, content), Success):
            task.checkpoint = key

    def _finish(self, task, state):
        task.state = state
        record = self._records_by_key.get((task.job, task.index, task.attempt))
        if record is not None:
            record.ended = _now()
            record.end = state
            record.progress = task.progress

    def _run_tasks(self):
        last = _now()
        while True:
            time.sleep(STEP_SECONDS)
            now = _now()
            with self._lock:
                for task in self._task_by_key.values():
                    if task.state == "running":
                        self._advance(task, now - last, now)
            last = now

    def _advance(self, task, seconds, now):
        if now >= self._lease_end:
            self._finish(task, "stopped")
            return
        if self.fail_all_tasks:
            self._finish(task, "failed")
            return
        task.progress += min(seconds, 2 * STEP_SECONDS)
        work_seconds = task.spec["work_seconds"]
        if work_seconds and task.progress >= work_seconds:
            self._complete(task)
        elif now - task.checkpointed_at > self.checkpoint_every:
            self._save_checkpoint(task)

    def _complete(self, task):
        key = f"result/{task.name}/{task.attempt}"
        content = json.dumps({"progress": task.progress}).encode()
        if isinstance(self.objects.put(key, content), Success):
            task.result = key
            self._finish(task, "completed")

    def _get_counts(self):
        with self._lock:
            records = [asdict(record) for record in self._records_by_key.values()]
        return Answer(
            200, {"records": records, "most_processors": self._max_processors}
        )


def _encode_task(task):
    return {
        "job": task.job,
        "index": task.index,
        "attempt": task.attempt,
        "state": task.state,
        "checkpoint": task.checkpoint,
        "result": task.result,
        "processors": task.spec.get("processors", 0.0),
        "memory_gb": task.spec.get("memory_gb", 0.0),
        "accelerators": task.spec.get("accelerators", 0),
    }


def _get_key(attempt):
    return (attempt["job"], attempt["index"], attempt["attempt"])


def _now():
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def main():
    """Run the worker."""
    parser = build_parser(__doc__)
    parser.add_argument("--objects", required=True, help="object store, host:port")
    parser.add_argument("--processors", type=float, default=16.0, help="size")
    parser.add_argument("--memory-gb", type=float, default=60.0, help="size")
    parser.add_argument("--checkpoint-every", type=float, default=1.0, help="seconds")
    options = parser.parse_args()
    objects = HttpObjectStore(options.objects, OBJECT_TIMEOUT_SECONDS)
    app = WorkerStandIn(
        objects, options.processors, options.memory_gb, options.checkpoint_every
    )
    run(app, options.port, THREADS)


if __name__ == "__main__":
    main()
