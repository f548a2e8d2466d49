"""Engines that leave one after the other, while the store cuts the watches that wait."""

import asyncio
import random
import sys
import time
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-2"))
from harness import LLM_HOST, MODEL, QUERY, TROUBLE, Engine, call, deploy, headers, run

DRAIN_S = 2.0
# Arrivals count from here on: the record's times err by less.
SLACK_S = 0.05
# An engine that leaves serves on for this time after the store has accepted that its entry is removed.
SERVES_ON_S = DRAIN_S + 0.4
# Two thirds of the site's `approval-query` requests a second.
REQUEST_PERIOD_S = 1 / 120
# One of nine engines leaves at a time; the site takes away a share of 0.13 at a time.
ENGINES, LEAVING = 9, 5
# From the cut of the watches to the removal of the entry.
CUT_BEFORE_S = 0.05
ZONES = ("marousi", "piraeus", "elefsina")


class Counted(Engine):
    """An engine that keeps when each request arrived."""

    def __init__(self, *args, **kw):
        super().__init__(*args, **kw)
        self.arrivals = []

    async def generate(self, request):
        self.arrivals.append((time.monotonic(), request.headers.get("x-attempt-id", "")))
        return await super().generate(request)


async def body(case):
    vms = await deploy(case, engines=0, servers=1, vms=3)
    # Started together, as a deployment is.
    make = lambda n: Counted(case.store, "model-desk", f"e{n}", zone=ZONES[n % 3], first_s=0.03, step_s=0.03, events=6)
    engines = await asyncio.gather(*[case.add(make(n)) for n in range(ENGINES)])
    await asyncio.sleep(1.0)
    tasks, answers, is_over = [], {}, False

    async def query(vm):
        more = {"X_Model": MODEL, "X_Token_Count": "383,42"}
        more["X_Prompt_Prefix"] = f"{random.randrange(1228):x}:92,{random.getrandbits(40):x}:291"
        fields = headers(case, LLM_HOST, 3000, **more)
        answer = await call(vm.addr, "POST", QUERY + "2f", fields, b"x" * 380, timeout=4)
        answers[fields["X-Attempt-Id"]] = answer
        how = "complete" if answer.is_complete else f"not complete: {answer.error}"
        case.write(
            f"approval-query {fields['X-Attempt-Id']} to {vm.name}: {answer.status}, {how}, {answer.seconds:.3f} s"
        )

    async def clients():
        while not is_over:
            tasks.append(asyncio.create_task(query(vms[len(tasks) % 3])))
            await asyncio.sleep(REQUEST_PERIOD_S)

    sending = asyncio.create_task(clients())
    late = []
    for old in engines[:LEAVING]:
        await asyncio.sleep(3.0 + random.random() * 1.2)
        if TROUBLE:
            case.note("the store cuts the watches that wait")
            case.store.cut_watches()
        await asyncio.sleep(CUT_BEFORE_S)
        old.beat.cancel()
        case.store.remove(f"servers/{old.id}")
        removed = time.monotonic()
        case.note(f"the entry of {old.id} is removed, as the store confirms")
        await asyncio.sleep(SERVES_ON_S)
        old.server.stop()
        after = [(at - removed, request) for at, request in old.arrivals if at > removed + DRAIN_S + SLACK_S]
        last = max((at - removed for at, _ in old.arrivals), default=0.0)
        case.note(f"{old.id} ends; the last request arrived {last:.3f} s after the confirmation, {len(after)} too late")
        for at, request in after:
            case.write(f"request {request} reached {old.id} {at:.3f} s after the confirmation")
        late += after
    await asyncio.sleep(1.0)
    is_over = True
    await sending
    await asyncio.gather(*tasks)
    lost = [request for _, request in late if not answers[request].is_complete]
    kinds = Counter((answer.status, "complete" if answer.is_complete else "lost") for answer in answers.values())
    case.note(f"answers: {dict(kinds)}; {len(late)} requests reached engines too late, {len(lost)} of these answers were lost")
    return bool(late)


run(FOLDER, body)
