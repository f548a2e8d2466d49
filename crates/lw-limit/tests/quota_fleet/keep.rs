//! The view of the store, the registration and the slots of a VM.

use super::*;

impl Simulation<'_> {
    pub(super) fn apply_view(&mut self, vm: usize, view: Rc<Snapshot>, sent: Now) {
        let state = &mut self.vms[vm];
        if state.view.as_ref().is_none_or(|old| old.era != view.era) {
            state.era_since = self.now;
            // The registration notices it.
            state.lease = state.lease.filter(|lease| lease.era == view.era);
        }
        if state.view.as_ref().is_none_or(|old| old.config != view.config) {
            state.caps = self.options.workspaces.iter().map(|w| w.caps.at(sent)).collect();
            let capped = state.caps.iter().enumerate();
            let shares = capped
                .filter_map(|(w, cap)| Some((name(w), Share::new((*cap)?, &self.options.rule))));
            state.keeper.configure(self.now, view.config, shares.collect());
        }
        state.view = Some(view);
    }

    pub(super) fn reaches_store(&self, vm: usize) -> bool {
        !self.store.is_down && self.now >= self.vms[vm].cut_from_store_until
    }

    pub(super) fn tick(&mut self, vm: usize) {
        let state = &mut self.vms[vm];
        let Some(view) = state.view.clone() else { return };
        let vms: Vec<&str> = view.vms.iter().map(String::as_str).collect();
        let has_caps = state.caps.iter().any(Option::is_some);
        let fleet = Fleet {
            own: &self.names[vm],
            vms: &vms,
            era: view.era,
            recorded_era: view.recorded_era,
            former_leases_end: Some(state.era_since + LEASE_TIME),
            lease_time: LEASE_TIME,
            is_current: true,
            lease: state.lease,
            items: &view.items,
            has_caps,
        };
        let update = state.keeper.update(self.now, &fleet);
        if let Some(write) = update.write {
            self.call(vm, StoreCall::Write(write));
        }
        self.return_unused(vm);
    }

    /// Returns the grants that are due.
    pub(super) fn return_unused(&mut self, vm: usize) {
        let state = &mut self.vms[vm];
        let returns = state.requester.returns(self.now);
        let returns = state.keeper.take_back_own(self.now, returns);
        for returned in returns {
            if let Some(holder) = self.holder(vm, returned.slot) {
                self.send(vm, holder, Message::Return(returned));
            }
        }
    }

    /// Sends a call to the store. Its outcome is known after the reply, or after the time-out.
    pub(super) fn call(&mut self, vm: usize, call: StoreCall) {
        let sent = self.now;
        let delay = ms(self.rng.u64(1..30));
        let is_reply_lost = self.rng.f64() < self.options.loss;
        if self.reaches_store(vm) {
            let arrival = sent + delay;
            // The call takes effect although the process may end meanwhile.
            let (lease, position) = match &call {
                StoreCall::Lease => (Some(self.store.create_lease(arrival, &self.names[vm])), None),
                StoreCall::Renew { id, era } => {
                    (self.store.renew(arrival, *id, *era).then_some((*id, *era)), None)
                }
                StoreCall::Write(write) => (None, self.store.write(arrival, write)),
            };
            if !is_reply_lost {
                let event = Event::FromStore { call, sent, lease, position };
                let delay = delay + ms(self.rng.u64(1..30));
                return self.after(delay, vm, event);
            }
        }
        let event = Event::FromStore { call, sent, lease: None, position: None };
        self.after(CALL_TIMEOUT, vm, event);
    }

    pub(super) fn on_store_reply(
        &mut self,
        vm: usize,
        call: StoreCall,
        sent: Now,
        lease: Option<(u64, Era)>,
        position: Option<Position>,
    ) {
        let state = &mut self.vms[vm];
        match call {
            StoreCall::Write(write) => drop(state.keeper.on_written(self.now, write, position)),
            StoreCall::Lease | StoreCall::Renew { .. } => {
                if let Some((id, era)) = lease {
                    let valid_until = sent + LEASE_TIME.mul_f64(0.95);
                    state.lease = Some(Lease { id, era, valid_until });
                } else if state.lease.is_some_and(|lease| self.now > lease.valid_until) {
                    state.lease = None;
                }
            }
        }
    }
}
