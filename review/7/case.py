"""Workers crash, one at a time; no run ends `failed`, yet a job whose tasks last is shown as `failed` and is not run on."""

import asyncio
import json
import os
import sys

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
import world  # noqa: E402

# One worker of nine is down at a time, a share of 0.11, for 4.5 s; the site's entries have 0.14 and 4.5 s. The next one
# crashes when the one before is back, and it is the one with the most runs.
WORKERS = 9
CRASHES = 9
BACK_S = 4.5
# Five tasks that last, as `catalogue-sync` of the site has them.
LASTING = {"lasts": True, "cpu": 1500, "memMb": 3100}
JOB = "00000000000000a1"
# The rule's bounds: seconds from a task's last run, and seconds without a run.
AFTER_RUN_S = 6
WITHOUT_RUN_S = 3


class Deployment(world.World):
    async def start_case(self):
        routes = [world.route("catalogue-sync", "/sync/", "notices", maxAttempts=4, stretch=2.2, targetLatencyMs=2500)]
        await self.start(3, {"notices": WORKERS}, routes, [world.service("notices")])


async def case(deployment, trouble):
    step = {"count": 5, "cpu": 1500, "memMb": 3100, "estimateMs": 900, "longRunning": True, "image": "sync"}
    body = {"spec": json.dumps(LASTING), "steps": [step]}
    status, _ = await deployment.request(deployment.nodes[0], "POST", f"/sync/{JOB}", body)
    if status != 200:
        raise RuntimeError(f"the job was answered {status}")
    await asyncio.sleep(5)
    for _ in range(CRASHES):
        if trouble:
            up = [machine for machine in deployment.machines if machine.worker is not None]
            machine = max(up, key=lambda machine: len(machine.worker.running))
            deployment.record.line(f"worker crashes {machine.worker.id} running={len(machine.worker.running)}")
            await machine.crash(BACK_S)
        else:
            await asyncio.sleep(BACK_S)
        await deployment.request(deployment.nodes[1], "GET", f"/sync/{JOB}")
    # All workers are back. A calm time of 4 s, and then the rule's bounds.
    await asyncio.sleep(4 + AFTER_RUN_S + WITHOUT_RUN_S)
    broken = []
    ends = [event[5] for event in deployment.events if event[1] == "end"]
    for node in deployment.nodes:
        status, value = await deployment.request(node, "GET", f"/sync/{JOB}")
        if status != 200 or value.get("state") not in ("queued", "running"):
            broken.append(f"LOST: front-{node.number} shows the job as {status} {value}; nobody cancelled it, its runs ended {ends}")
    running = sum(len(machine.worker.running) for machine in deployment.machines if machine.worker is not None)
    if running < 5:
        broken.append(f"LOST: {5 - running} of 5 tasks that last don't run, with {len(deployment.machines)} workers up and free")
    return broken


sys.exit(world.main(case, Deployment))
