import asyncio
import os
import sys

sys.dont_write_bytecode = True
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins"))
import lab as stand_ins
from lab import now

OUTAGE_S, UPKEEP_S = 4.5, 2.0


async def case(lab):
    begun, down_at = set(), None

    async def machine_command(path, wire, headers):
        """Answers upkeeps as PROTOCOL.md says."""
        nonlocal down_at
        name = wire["machine"]
        machine = lab.machines.get(name)
        status, reason = 200, None
        if path != "/machine-upkeep" or machine is None:
            status = 400
        elif name not in begun and machine["state"] != "up":
            status, reason = 409, "busy"
        elif name not in begun:
            begun.add(name)
            machine["state"] = "upkeep"
            runner = machine["runner"]
            runner.crash()
            lab.store.put("servers", "", runner.id, None)

            async def back():
                await asyncio.sleep(UPKEEP_S)
                await lab.start_runner(name)

            asyncio.create_task(back())
            if lab.trouble and down_at is None:
                down_at = now()
                lab.cloud.silent = True
                lab.record(f"disruption: the machine interface is silent for {OUTAGE_S} s; the upkeep of {name} has begun")

                def back_up():
                    lab.cloud.silent = False
                    lab.record("disruption: the machine interface answers again")

                asyncio.get_running_loop().call_later(OUTAGE_S, back_up)
        lab.record(f"cloud: {path} {wire} fence={headers.get('x-fence-token')} -> {status} {reason or ''}")
        return status, ({"reason": reason} if reason else {})

    lab.machine_command = machine_command
    await lab.start({"terreno": 3})
    if not await lab.wait_ready():
        raise RuntimeError("nodes not ready")
    wave = {"wave": 1, "machines": ["m-terreno-1"], "deadlineS": 25, "maxCount": 1}
    lab.store.put_json("op", "wave/1", wave)
    lab.record(f"operator: {wave}")
    until = now() + 10
    while not begun:
        if now() > until:
            raise RuntimeError("no upkeep began")
        await asyncio.sleep(0.05)
    # 20 tasks of 3 cores fill the other two runners for 3.5 s; 10 longer ones wait for the machine in upkeep.
    for count, seconds in ((20, 3.5), (10, 8.0)):
        step = {"count": count, "cpu": 3000, "memMb": 1000, "estimateMs": int(seconds * 1000)}
        if await lab.submit("terreno", [step], {"s": seconds, "cpu": 3000, "mem": 1000}) is None:
            raise RuntimeError("job not accepted")
    await asyncio.sleep(20)
    broken = []
    for before, after, overlap in lab.overlaps():
        broken.append(
            f"TWICE {before['task']}: run {before['run']} on {before['runner']} and run {after['run']} on"
            f" {after['runner']} at the same time, for {overlap:.2f} s"
        )
    done_twice = [run["task"] for run in lab.runs if run["how"] == "done"]
    for task in sorted({task for task in done_twice if done_twice.count(task) > 1}):
        broken.append(f"TWICE {task} has ended `done` {done_twice.count(task)} times")
    return broken


stand_ins.main(case, HERE)
