"""A worker at its limit of connections runs a cancelled job on: the leader renews its lease, and can't stop the task."""

import asyncio
import json
import os
import sys

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
import world  # noqa: E402

WORKERS = 8
CONNECTIONS = 64
NODES = 4
LOST_MAX = 36
LOSSES_END_S = 80
# Bounds of the site.
CANCEL_S, STOP_S, CONTACT_S = 3.0, 0.2, 3.0
LASTING = {"lasts": True, "cpu": 1000, "memMb": 1000}
SHORT = {"ms": 300, "cpu": 200, "memMb": 100}
JOB = "00000000000000d1"


class Deployment(world.World):
    async def start_case(self):
        routes = [world.route("sync", "/sync/", "schools"), world.route("counts", "/counts/", "schools")]
        await self.start(NODES, {"schools": WORKERS}, routes, [world.service("schools")])


def workers(deployment):
    return [machine.worker for machine in deployment.machines]


async def case(deployment, trouble):
    lost, number = set(), 0

    def live():
        return [node for node in deployment.nodes if node.number not in lost]

    async def submit(job, prefix, plan, count, more):
        step = {"count": count, "cpu": plan["cpu"], "memMb": plan["memMb"], "estimateMs": 300, **more}
        body = {"spec": json.dumps(plan), "steps": [step]}
        for node in live()[: NODES - 1]:
            status, _ = await deployment.request(node, "POST", f"/{prefix}/{job}", body)
            if status == 200:
                return True
        return False

    if not await submit(JOB, "sync", LASTING, WORKERS, {"longRunning": True, "antiAffinity": 1}):
        raise RuntimeError("the job wasn't accepted")
    await asyncio.sleep(2)
    for _ in range(LOST_MAX if trouble else 6):
        # Ordinary work: one to three jobs with a task for each worker, handed in at once. A leader opens a connection for its
        # polls and one for each command under way; the number of jobs is chosen so that the connections of lost leaders
        # come to one less than a worker takes.
        room = CONNECTIONS - max(len(w.server.writers) for w in workers(deployment))
        jobs = []
        for _ in range({1: 0, 2: 1, 3: 2, 4: 3, 5: 1, 6: 2}.get(room, 3)):
            number += 1
            jobs.append(submit(f"{0xD000000000000000 + number:016x}", "counts", SHORT, WORKERS, {"antiAffinity": 1}))
        await asyncio.gather(*jobs)
        await asyncio.sleep(0.6)
        if not trouble:
            await asyncio.sleep(2)
            continue
        # A worker at its limit that answers the newest leader's polls, and that none of its commands has reached.
        if deployment.record.seconds() > LOSSES_END_S:
            break
        fence = max(w.fence for w in workers(deployment))
        limited = [
            w
            for w in workers(deployment)
            if w.server.turned_away and w.fence == fence and w.commanded < fence and w.clock_ms() - w.held_at_ms < 1200
        ]
        if any(run.task.startswith(JOB) for w in limited for run in w.running.values()):
            break
        leader = deployment.leader()
        if leader is not None and leader.number not in lost:
            lost.add(leader.number)
            await deployment.replace(leader)
        held = {w.id: w.fence for w in workers(deployment)}
        for _ in range(60):
            await asyncio.sleep(0.1)
            if sum(w.fence > held[w.id] for w in workers(deployment)) >= WORKERS // 2:
                break
        await asyncio.sleep(0.5)
    for w in workers(deployment):
        deployment.record.line(
            f"worker {w.id} connections={len(w.server.writers)} turned_away={w.server.turned_away} "
            f"polled_ms_ago={w.clock_ms() - w.held_at_ms} running={[run.task for run in w.running.values()]}"
        )
    # The disruptions are over: a calm time, and then the cancel.
    await asyncio.sleep(CONTACT_S)
    node = live()[0]
    status, _ = await deployment.request(node, "DELETE", f"/sync/{JOB}")
    if status != 200:
        raise RuntimeError(f"the cancel was answered {status}")
    await asyncio.sleep(CANCEL_S + STOP_S + CONTACT_S)
    broken = []
    for w in workers(deployment):
        for run in w.running.values():
            if run.task.startswith(JOB):
                broken.append(
                    f"UNASKED: {run.task} run {run.run} runs on on {w.id} {CANCEL_S + STOP_S + CONTACT_S} s after its job's cancel "
                    f"was acknowledged; its lease was renewed until {w.until_ms - w.clock_ms()} ms from now"
                )
    deployment.record.line(f"machines lost: {len(lost)}")
    return broken


sys.exit(world.main(case, Deployment))
