//! What troubles do to a fleet.

use super::{
    Event, Fleet, REWRITE_MAX, START_DELAY,
    trouble::{Kind, Scope, TABLE, Target, Trouble},
    vm,
};

impl Fleet {
    pub(super) fn begin(&mut self, trouble: Trouble) {
        let Trouble { kind, duration, target, .. } = trouble;
        let (now, until) = (self.now, self.now + duration);
        let row = TABLE.iter().find(|row| row.kind == kind).expect("each kind has a row");
        let issuer = || {
            let holder = &self.store.content.issuer.as_ref()?.record.holder;
            (0..self.case.vms).find(|vm| vm::name(*vm) == *holder)
        };
        let vm = match target {
            Target::Issuer => issuer().unwrap_or(self.last_target),
            Target::Previous => self.last_target,
            Target::Vm(vm) => vm % self.case.vms,
        };
        match row.scope {
            Scope::Vm => {
                self.last_target = vm;
                let excuses = &mut self.rules.vms[vm];
                excuses.disturbed_until = excuses.disturbed_until.max(until + START_DELAY);
            }
            Scope::Store => {
                let disturbed = &mut self.rules.store_disturbed_until;
                *disturbed = until.max(*disturbed);
            }
            Scope::Engines => {}
        }
        let host = &mut self.hosts[vm];
        let extend = |time: &mut u64| *time = until.max(*time);
        match kind {
            Kind::Restart => {
                host.vm = None;
                extend(&mut host.starts_at);
            }
            Kind::HandOver => {
                let event = Event::Vm(vm, host.incarnation, vm::Event::Leave);
                self.enqueue_at(now, event);
            }
            Kind::Pause => {
                extend(&mut host.paused_until);
                self.rules.vms[vm].thawed_at = Some(host.paused_until);
            }
            Kind::Cut => {
                extend(&mut host.cut_until);
                self.rules.vms[vm].healed_at = Some(host.cut_until);
            }
            Kind::TurnedAway => extend(&mut host.turned_away_until),
            Kind::StoreDown | Kind::StoreDownLeasesPause | Kind::StoreRestored => {
                extend(&mut self.store_down_until);
            }
            Kind::AnswersLost => extend(&mut self.answers_lost_until),
            Kind::AnswersLate => extend(&mut self.answers_late_until),
            Kind::OrdersLost => extend(&mut self.orders_lost_until),
            Kind::OrdersLate => extend(&mut self.orders_late_until),
        }
        self.enqueue_at(until, Event::End(trouble, vm));
    }

    pub(super) fn end(&mut self, trouble: Trouble, vm: usize) {
        let now = self.now;
        match trouble.kind {
            Kind::Restart => self.start(vm),
            Kind::HandOver => {
                let host = &mut self.hosts[vm];
                host.vm = None;
                host.starts_at = host.starts_at.max(now + START_DELAY);
                let at = host.starts_at;
                self.enqueue_at(at, Event::Start(vm));
            }
            Kind::StoreDownLeasesPause => self.store.extend_leases(trouble.duration),
            Kind::StoreRestored => {
                let age = self.rng.u64(0..8_000);
                self.store.restore(now, trouble.at.saturating_sub(age));
                let at = now + self.rng.u64(50..REWRITE_MAX);
                self.enqueue_at(at, Event::RewriteVersion);
            }
            _ => {}
        }
    }
}
