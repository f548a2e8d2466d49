//! Requests of callers.

use super::*;

impl Simulation<'_> {
    pub(super) fn arrive(&mut self, vm: usize, call: Call) {
        let state = &self.vms[vm];
        let Some(view) = state.view.as_ref().filter(|_| state.is_running) else {
            return self.refuse(call, ms(300));
        };
        let Some(cap) = state.caps[call.workspace] else {
            return self.record_run(call, Duration::ZERO);
        };
        let share = Share::new(cap, &self.options.rule);
        let workspace = name(call.workspace);
        let ask = Ask::new(&workspace, slots_of(&workspace), call.cost, view.config, share);
        let number = self.rng.u64(..);
        self.vms[vm].waiting.insert(number, (ask, call));
        self.step(vm, number);
    }

    /// Goes on with the request that waits under this number.
    pub(super) fn step(&mut self, vm: usize, number: u64) {
        let Some((mut ask, call)) = self.vms[vm].waiting.remove(&number) else { return };
        loop {
            let number = self.rng.u64(..);
            match self.vms[vm].requester.decide(self.now, &mut ask, number) {
                Decision::Admitted(grant) => {
                    if self.rng.f64() < self.options.unused {
                        return self.vms[vm].requester.give_back(self.now, grant);
                    }
                    let is_slow = self.rng.f64() < 0.05;
                    let delay = ms(self.rng.u64(0..if is_slow { 700 } else { 20 }));
                    return self.after(delay, vm, Event::Send { grant, call });
                }
                Decision::Refused { retry_after } => return self.refuse(call, retry_after),
                Decision::Unavailable => {
                    self.outcome.unavailable += 1;
                    return self.refuse(call, ms(300));
                }
                Decision::Wait(pause) => {
                    self.vms[vm].waiting.insert(number, (ask, call));
                    return self.after(pause, vm, Event::Timeout { number });
                }
                Decision::Ask(claim) => {
                    let holder = self.holder(vm, claim.slot);
                    let is_held = self.vms[vm].keeper.holder.revision(claim.slot).is_some();
                    if is_held || holder.is_none_or(|holder| holder == vm) {
                        let state = &mut self.vms[vm];
                        let reply = state.keeper.holder.decide(self.now, &claim);
                        state.requester.on_reply(self.now, number, reply);
                        continue;
                    }
                    self.vms[vm].waiting.insert(number, (ask, call));
                    self.after(REPLY_TIMEOUT, vm, Event::Timeout { number });
                    let to = holder.unwrap_or_default();
                    return self.send(vm, to, Message::Claim { claim, from: vm });
                }
            }
        }
    }

    pub(super) fn send_request(&mut self, vm: usize, grant: Grant, call: Call) {
        if self.now >= grant.valid_until {
            self.vms[vm].requester.give_back(self.now, grant);
            self.return_unused(vm);
            return self.arrive(vm, call);
        }
        let travel = ms(self.rng.u64(1..60));
        self.record_run(call, travel);
        if self.rng.f64() < self.options.further {
            self.record_run(call, travel);
            let (slot, number) = (grant.slot, self.rng.u64(..));
            let claim =
                Claim { slot, number, workspace: grant.workspace, cost: call.cost, config: 0 };
            match self.holder(vm, slot) {
                Some(holder) if holder != vm => self.send(vm, holder, Message::Charge(claim)),
                Some(_) => self.vms[vm].keeper.holder.charge(self.now, &claim),
                None => {}
            }
        }
    }

    pub(super) fn record_run(&mut self, call: Call, travel: Duration) {
        self.outcome.runs[call.workspace].push((self.now + travel, call.cost));
        self.outcome.requests[call.workspace][call.index].2 = true;
    }

    /// Callers return once.
    pub(super) fn refuse(&mut self, call: Call, retry_after: Duration) {
        if !call.is_retry && retry_after < ms(2_000) {
            let at = self.now + retry_after;
            let vm = self.reached(call.workspace);
            self.at(at, Some(vm), Event::Arrival(Call { is_retry: true, ..call }));
        }
    }

    /// Returns a VM that callers of a workspace reach.
    pub(super) fn reached(&mut self, workspace: usize) -> usize {
        let count = self.options.vms;
        let seconds = usize::try_from(self.now.as_secs()).expect("a short run");
        match self.options.workspaces[workspace].spread {
            Spread::All => self.rng.usize(..count),
            Spread::Third => self.rng.usize(..count.div_ceil(3)),
            Spread::One => workspace % count,
            Spread::Moving => (workspace + seconds / 3) % count,
        }
    }

    pub(super) fn demand(&mut self, workspace: usize) {
        let Workspace { caps, demand, costs, is_shaped, .. } = &self.options.workspaces[workspace];
        let cost = costs.next(&mut self.rng);
        let is_regular = matches!(costs, Costs::Regular(_));
        let factor = if is_regular { 1.0 } else { -(1.0 - self.rng.f64()).ln() };
        let pause = factor * costs.mean() / demand;
        self.at(self.now + Duration::from_secs_f64(pause), None, Event::Demand { workspace });
        let cap = caps.at(self.now).filter(|_| *is_shaped);
        let cap = cap.map(|cap| Cap { rate: cap.rate * 0.9, burst: cap.burst * 0.9 });
        if cap.is_some_and(|cap| !self.shapers[workspace].admits(self.now, cap, cost)) {
            return;
        }
        let requests = &mut self.outcome.requests[workspace];
        requests.push((self.now, cost, false));
        let call = Call { workspace, index: requests.len() - 1, cost, is_retry: false };
        let vm = self.reached(workspace);
        self.arrive(vm, call);
    }
}
