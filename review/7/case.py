"""One accepted job ends each node that leads in turn, and no job runs any more."""

import asyncio
import json
import os
import sys

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
import world  # noqa: E402

# Of the site: a process that exceeds it is killed, and is restarted after a short delay.
MEMORY_MB = 260
RESTART_S = 0.5
FINISH_S = 14
JOBS = 40
JOB_EVERY_S = 0.5
ATTEMPTS = 5
TASK = {"ms": 800, "cpu": 1100, "memMb": 1200}
# Every minute, two million times, with a first time of 0, which is omitted on the wire: the times of the past years are due.
SCHEDULE = {"repeatCount": 2_000_000, "intervalMs": 60_000}


class Deployment(world.World):
    ended = None

    async def start_case(self):
        self.ended = {}
        routes = [world.route("daily-loans", "/loans/", "tally"), world.route("archive", "/archive/", "tally")]
        capacity = {"cpu": 16000, "memMb": 32768, "gpu": 0}
        await self.start(3, {"tally": 9}, routes, [world.service("tally")], capacity)
        self.spawn(self.limit_memory())

    async def limit_memory(self):
        """The platform: kills a process that exceeds its memory, and starts ended processes again."""
        while True:
            for node in self.nodes:
                memory_mb = node.memory_mb()
                if not node.is_running():
                    self.record.line(f"front-{node.number} has ended by itself with {node.process.returncode}")
                elif memory_mb > MEMORY_MB:
                    self.record.line(f"front-{node.number} holds {memory_mb} MB of {MEMORY_MB}: the platform kills it")
                    node.kill()
                    node.process.wait()
                else:
                    continue
                self.ended[node.number] = self.ended.get(node.number, 0) + 1
                await asyncio.sleep(RESTART_S)
                node.start()
            await asyncio.sleep(0.02)


async def case(deployment, trouble):
    accepted = []

    async def submit(path, job, body):
        for attempt in range(ATTEMPTS):
            node = deployment.nodes[(int(job, 16) + attempt) % len(deployment.nodes)]
            status, _ = await deployment.request(node, "POST", f"/{path}/{job}", body)
            if status == 200:
                return True
            await asyncio.sleep(0.2)
        return False

    body = {"spec": json.dumps(TASK)}
    for number in range(JOBS):
        if trouble and number == 10:
            step = {"count": 1, "cpu": TASK["cpu"], "memMb": TASK["memMb"], "estimateMs": 800}
            await submit("archive", "00000000000000b1", {**body, "steps": [step], **SCHEDULE})
        job = f"{0xC000000000000000 + number:016x}"
        step = {"count": 2, "cpu": TASK["cpu"], "memMb": TASK["memMb"], "estimateMs": 800}
        if await submit("loans", job, {**body, "steps": [step]}):
            accepted.append(job)
        await asyncio.sleep(JOB_EVERY_S)
    await asyncio.sleep(FINISH_S)
    broken = []
    for job in accepted:
        for attempt in range(ATTEMPTS):
            status, value = await deployment.request(deployment.nodes[attempt % 3], "GET", f"/loans/{job}")
            if status == 200:
                break
            await asyncio.sleep(0.2)
        state = value.get("state") if isinstance(value, dict) else None
        if state == "completed":
            continue
        # A task whose turn has come: none of its runs has ended well, and none is under way. All workers are free.
        tasks = [f"{job}.0.0.{index}" for index in range(2)]
        done = {event[3] for event in deployment.events if event[1] == "end" and event[5] == "done"}
        running = {run.task for machine in deployment.machines for run in machine.worker.running.values()}
        waiting = [task for task in tasks if task not in done and task not in running]
        if status == 200 and waiting:
            broken.append(f"LOST: job {job} is answered 200 {state} after finish_s; tasks that don't run: {waiting}")
        else:
            deployment.record.line(f"job {job} is answered {status} {state} after finish_s; its tasks have run")
    often = {number: ends for number, ends in deployment.ended.items() if ends >= 3}
    deployment.record.line(f"ends of processes for their memory: {deployment.ended}")
    # Two machines at least, three times each.
    if len(often) >= 2:
        broken.append(f"Fault: processes of {len(often)} machines ended {sum(often.values())} times for their memory: {often}")
    return broken


sys.exit(world.main(case, Deployment))
