"""Machines are lost for good while they move to a pool; the leader counts them as coming for ever, and the pool stays empty."""

import asyncio
import json
import os
import sys

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
import world  # noqa: E402

FINISH_S = 14
WITHOUT_RUN_S = 3
BIG = {"ms": 1700, "cpu": 8000, "memMb": 4000}
SMALL = {"ms": 500, "cpu": 1100, "memMb": 1200}
# The machines of one rack, of which a site has four.
RACK = "r-misc-0"


class Deployment(world.World):
    moved = None

    async def start_case(self):
        self.moved = []
        routes = [world.route("daily-loans", "/loans/", "tally"), world.route("overdue-run", "/overdue/", "notices")]
        services = [world.service("tally"), world.service("notices"), world.service("misc", spare=True)]
        # The site's machines have 16 cores and 32 GB.
        capacity = {"cpu": 16000, "memMb": 32768, "gpu": 0}
        await self.start(3, {"tally": 2, "notices": 4, "misc": 8}, routes, services, capacity)

    def on_move(self, machine, pool):
        if pool == "tally":
            self.moved.append(machine)


async def case(deployment, trouble):
    accepted = []

    async def submit(job, plan, count):
        step = {"count": count, "cpu": plan["cpu"], "memMb": plan["memMb"], "estimateMs": plan["ms"]}
        body = {"spec": json.dumps(plan), "steps": [step]}
        status, _ = await deployment.request(deployment.nodes[int(job, 16) % 3], "POST", f"/loans/{job}", body)
        if status == 200:
            accepted.append(job)

    # A little work first, so that the pool is in use.
    for number in range(6):
        await submit(f"{0xE000000000000000 + number:016x}", SMALL, 2)
        await asyncio.sleep(0.5)
    # A burst asks for more machines than the pool holds; the leader moves some there.
    for number in range(6, 10):
        await submit(f"{0xE000000000000000 + number:016x}", BIG, 4)
    await asyncio.sleep(0.8)
    deployment.record.line(f"moved to the pool: {[machine.name for machine in deployment.moved]}")
    if trouble:
        if not deployment.moved:
            raise RuntimeError("no machine was moved")
        for machine in deployment.moved:
            if machine.labels[1] != RACK:
                continue
            deployment.record.line(f"machine {machine.name} is lost for good, state {machine.state}")
            machine.lose()
    # Calm time, and then a little work again.
    await asyncio.sleep(12)
    for number in range(10, 16):
        await submit(f"{0xE000000000000000 + number:016x}", SMALL, 1)
        await asyncio.sleep(2)
    # The end of the traffic; the disruption was 24 s before.
    await asyncio.sleep(FINISH_S + WITHOUT_RUN_S)
    for machine in deployment.machines:
        running = len(machine.worker.running) if machine.worker is not None else None
        deployment.record.line(f"machine {machine.name} pool={machine.pool} state={machine.state} running={running}")
    broken = []
    free = [machine for machine in deployment.machines if not machine.is_lost and machine.pool in ("misc", "tally")]
    for job in accepted:
        status, value = await deployment.request(deployment.nodes[0], "GET", f"/loans/{job}")
        state = value.get("state") if isinstance(value, dict) else None
        runs = [event for event in deployment.events if event[3].startswith(job) and event[1] == "start"]
        if state != "completed":
            last = f"last start at {runs[-1][0]:.1f} s" if runs else "never started"
            broken.append(f"LOST: job {job} is {status} {state}, {last}; {len(free)} machines of the pool and the spare pool are sound")
    return broken


sys.exit(world.main(case, Deployment))
