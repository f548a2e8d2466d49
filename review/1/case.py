"""Two machines issue orders at the same time after a former issuer, which was cut off from the store, is restarted as planned."""

import json
import os
import signal
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
import standins as s

LEASE_MS, CONTACT_MS = 3000, 3000
CUT_S = 5.0
ENGINES = 4


def name_version(deployment, version):
    deployment.record.write(f"operator names version {version}")
    deployment.store.put(f"op/version/{s.MODEL}", {"Model": s.MODEL, "Version": version})


def holder_of(deployment, version):
    """Returns the machine that ordered this version first."""
    orders = sorted(order for engine in deployment.upstreams for order in engine.orders if order[3] == version)
    return orders[0][1] if orders else None


def all_serve(deployment, version):
    return all(engine.version == version and not engine.loading for engine in deployment.upstreams)


def alternations(deployment, out_of_touch):
    """Orders to one engine from one machine, then another, then the first again, within LeaseMs, all in touch."""
    found = []
    for engine in deployment.upstreams:
        orders = [order for order in engine.orders if not out_of_touch(order[1], order[0])]
        for i, first in enumerate(orders):
            for j in range(i + 1, len(orders)):
                if orders[j][1] == first[1]:
                    continue
                for last in orders[j + 1:]:
                    if last[1] == first[1] and last[0] - first[0] <= LEASE_MS / 1000:
                        second = orders[j]
                        text = ", ".join(
                            f"{holder} fence {fence} version {version} -> {status} at {at - deployment.record.start:.3f}"
                            for at, holder, fence, version, status in (first, second, last)
                        )
                        found.append(f"ONE: {engine.id} got orders in turns: {text}")
                        break
    return found


def lower_fences(deployment):
    """Orders with a lower fencing token after a higher one at an engine that does not check them."""
    found = []
    for engine in deployment.upstreams:
        highest = None
        for order in engine.orders:
            at, holder, fence, version, status = order
            if highest and fence < highest[2]:
                found.append(
                    f"ONE: {engine.id} got an order of {holder} with fence {fence} (version {version} -> {status}) at "
                    f"{at - deployment.record.start:.3f} after one of {highest[1]} with fence {highest[2]} at "
                    f"{highest[0] - deployment.record.start:.3f}"
                )
            elif not highest or fence > highest[2]:
                highest = order
    return found


def run(folder, trouble):
    """Plays the same on two deployments side by side: one whose engines check fences, and one whose engines don't."""
    record = s.Record(folder)
    deployments = [
        s.Deployment(folder, vms=4, record=s.Part(record, name), checks_fences=checks)
        for name, checks in [("fences checked", True), ("not checked", False)]
    ]
    violations, unfit = [], []

    def play_one(deployment):
        try:
            violations.extend(f"[{deployment.record.name}] {line}" for line in play(deployment, trouble))
        except s.Unfit as e:
            unfit.append(f"[{deployment.record.name}] {e}")

    try:
        threads = [threading.Thread(target=play_one, args=(deployment,), daemon=True) for deployment in deployments]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        if unfit:
            raise s.Unfit(", ".join(unfit))
        return sorted(violations)
    finally:
        for deployment in deployments:
            deployment.stop()


def play(deployment, trouble):
    store, record = deployment.store, deployment.record
    routes = [s.route("r-1", "/brief/", "streaming", "vani-llm", 6000, 500, 2, Sticky=True, Resumable=True, TargetGapMs=200)]
    store.put("op/config", s.configuration(7, routes, [s.engine_service("vani-llm")]))
    name_version(deployment, 1)
    deployment.upstreams = [
        s.Upstream(store, record, f"i-{n}", "vani-llm", s.zone(n), model=s.MODEL) for n in range(ENGINES)
    ]
    for engine in deployment.upstreams:
        engine.checks_fences = deployment.checks_fences
    deployment.start()
    time.sleep(3)
    name_version(deployment, 2)
    deployment.wait_for(lambda: all_serve(deployment, 2), 12, "all engines serve version 2")
    former = next(vm for vm in deployment.vms if vm.name == holder_of(deployment, 2))
    absent = {}
    if trouble:
        record.write(f"{former.name} is cut off from the store")
        store.cut.add(former.store_address)
    time.sleep(CUT_S)
    if trouble:
        store.cut.clear()
        record.write(f"{former.name} reaches the store again")
    time.sleep(CONTACT_MS / 1000 + 1)
    name_version(deployment, 3)
    deployment.wait_for(lambda: all_serve(deployment, 3), 12, "all engines serve version 3")
    # Planned restart of one machine.
    absent[former.name] = (s.now(), None)
    former.signal(signal.SIGTERM)
    restart = threading.Thread(target=former.restart_after_end, daemon=True)
    restart.start()
    time.sleep(1.0)
    for version in range(4, 12):
        name_version(deployment, version)
        time.sleep(2.0)
    deployment.wait_for(lambda: all_serve(deployment, 11), 15, "all engines serve version 11")
    # The restarted machine counts as out of touch from its SIGTERM on.
    out_of_touch = lambda name, at: name in absent and at >= absent[name][0]
    if deployment.checks_fences:
        return alternations(deployment, out_of_touch)
    return lower_fences(deployment) + alternations(deployment, lambda name, at: False)


s.use_site("hgsa-lavender")
s.main(__file__, run)
