import asyncio
import os
import sys

sys.dont_write_bytecode = True
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins"))
import lab as stand_ins
from lab import now

ACK_S, STEADY_S = 4.0, 3.0


async def case(lab):
    await lab.start({"archive": 9, "counter": 3})
    if not await lab.wait_ready():
        raise RuntimeError("nodes not ready")
    began = now()
    large = None
    if lab.trouble:
        step = {"count": 1000, "cpu": 250, "memMb": 128, "estimateMs": 40000, "savesProgress": True}
        large = await lab.submit("archive", [step], {"s": 40.0, "cpu": 250, "mem": 128, "saves": True})
        if large is None:
            raise RuntimeError("large job not accepted")
    small = []

    async def traffic():
        while now() - began < 60:
            for service in ("archive", "counter"):
                step = {"count": 2, "cpu": 500, "memMb": 64, "estimateMs": 600}
                job = await lab.submit(service, [step], {"s": 0.6, "cpu": 500, "mem": 64})
                if job:
                    small.append((now(), service, job))
            await asyncio.sleep(2.0)

    task = asyncio.create_task(traffic())
    await asyncio.sleep(55)
    # Two machines of another kind join, and a job asks for that kind.
    await lab.add_machine("counter", 20, kind="b")
    await lab.add_machine("counter", 21, kind="b")
    await asyncio.sleep(3)
    step = {"count": 1, "cpu": 500, "memMb": 64, "estimateMs": 600, "requires": "b"}
    special = await lab.submit("counter", [step], {"s": 0.6, "cpu": 500, "mem": 64})
    accepted_at = now()
    await task
    await asyncio.sleep(14)
    broken = []
    if special and not lab.runs_of(special):
        broken.append(f"LOST job {special} has had nothing running for {now() - accepted_at:.1f} s, with two empty runners for it")
    old = [(run["task"], run["run"], run["to"]) for run in lab.runs if run["how"] in ("done", "failed") and now() - run["to"] > ACK_S]
    unnoted = [end for end in old if end[:2] not in lab.noted_at]
    lab.record(f"ends older than ackMs: {len(old)}, not taken note of: {len(unnoted)}")
    if len(unnoted) * 5 > len(old):
        broken.append(f"Acks {len(unnoted)} of {len(old)} ends were not taken note of {ACK_S} s after they were listed")
    states = {}
    for at, service, job in small:
        state = await lab.state(service, job)
        states[state] = states.get(state, 0) + 1
    lab.record(f"states of the small jobs, {len(small)} in all: {states}")
    print(states, len(unnoted), len(old), lab.store.refused)
    if large:
        lab.record(f"state of the large job: {await lab.state('archive', large)}")
    return broken


stand_ins.main(case, HERE)
