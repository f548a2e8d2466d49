"""New weights of one model, at engines that serve a second model whose weights never changed."""

import asyncio
import random
import sys
import time
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-2"))
from harness import LLM_HOST, MODEL, QUERY, TROUBLE, call, deploy, headers, run

SECOND_MODEL = "kupo520000"
VERSION_S = 12.0
# Requests count as begun late from here on: the record's times err by less.
SLACK_S = 0.2
REQUEST_PERIOD_S = 0.1


async def body(case):
    vms = await deploy(case, engines=4, servers=1, vms=2, models=(MODEL, SECOND_MODEL))
    engines = case.upstreams[:4]
    if not TROUBLE:
        # The operator names the weights of the second model too, which are those that its engines have.
        case.store.put(f"op/version/{SECOND_MODEL}", {"Model": SECOND_MODEL, "Version": 1})
    await asyncio.sleep(3.0)
    case.store.put(f"op/version/{MODEL}", {"Model": MODEL, "Version": 2})
    named = time.monotonic()
    case.note(f"version 2 of {MODEL} is named, as the store confirms")
    tasks, late, kinds = [], [], Counter()

    async def query(vm):
        more = {"X_Model": MODEL, "X_Token_Count": "383,42"}
        more["X_Prompt_Prefix"] = f"{random.randrange(1228):x}:92,{random.getrandbits(40):x}:291"
        fields = headers(case, LLM_HOST, 3000, **more)
        sent = time.monotonic() - named
        answer = await call(vm.addr, "POST", QUERY + "2f", fields, b"x" * 380, timeout=4)
        version = answer.headers.get("x-weight-versions")
        kinds[(answer.status, version)] += 1
        case.write(
            f"approval-query {fields['X-Attempt-Id']} to {vm.name}, sent {sent:.3f} s after the confirmation: "
            f"{answer.status} {answer.error}, on version {version}"
        )
        if answer.status == 200 and version == "1" and sent > VERSION_S + SLACK_S:
            late.append(sent)

    while time.monotonic() < named + 1.5 * VERSION_S + 1:
        tasks.append(asyncio.create_task(query(vms[len(tasks) % 2])))
        await asyncio.sleep(REQUEST_PERIOD_S)
    await asyncio.gather(*tasks)
    case.note(f"answers by status and version: {dict(kinds)}")
    older = sum(engine.versions[MODEL] < 2 for engine in engines)
    orders = sum(len(engine.order_log) for engine in engines)
    case.note(
        f"{len(late)} requests that were sent later than {VERSION_S:.0f} s after the confirmation ran on version 1; "
        f"{older} of {len(engines)} engines still have it 1.5 times that later; {orders} orders were sent"
    )
    return bool(late) or older > 1


run(FOLDER, body)
