//! Faults.

use super::*;

impl Simulation<'_> {
    pub(super) fn stop(&mut self, vm: usize, down: Duration) {
        let messages = self.vms[vm].messages;
        let boot = self.vms[vm].boot + 1;
        self.vms[vm] = Vm { boot, messages, ..Vm::default() };
        self.after(down, vm, Event::Start);
    }

    pub(super) fn fault(&mut self, fault: Fault) {
        match fault {
            Fault::Kill { vm, down } => self.stop(vm, down),
            Fault::KillHolder { slot, down } => {
                let slot = slots_of(&name(0))[slot];
                if let Some(vm) = (0..self.options.vms)
                    .find(|vm| self.vms[*vm].keeper.holder.slots().any(|(held, _)| held == slot))
                {
                    self.stop(vm, down);
                }
            }
            Fault::Leave { vm } => {
                // It ends 1 s later.
                if std::mem::replace(&mut self.vms[vm].is_leaving, true) {
                    return self.stop(vm, ms(300));
                }
                self.vms[vm].keeper.leave();
                self.at(self.now + ms(1_000), None, Event::Fault(Fault::Leave { vm }));
            }
            Fault::Freeze { vm, time } => self.vms[vm].frozen_until = self.now + time,
            Fault::Cut { vm, is_inbound, time } => {
                let others: Vec<_> = (0..self.options.vms).filter(|_| self.rng.bool()).collect();
                let pairs = others
                    .into_iter()
                    .map(|other| if is_inbound { (other, vm) } else { (vm, other) });
                self.cut.extend(pairs);
                self.at(self.now + time, None, Event::Heal { vm });
            }
            Fault::CutFromStore { vm, time } => {
                self.vms[vm].cut_from_store_until = self.now + time;
            }
            Fault::StoreDown { time } => {
                self.store.is_down = true;
                self.at(self.now + time, None, Event::StoreBack { older: None });
            }
            Fault::OlderCopy { time, age } => {
                self.store.is_down = true;
                self.at(self.now + time, None, Event::StoreBack { older: Some(age + time) });
            }
        }
    }
}
