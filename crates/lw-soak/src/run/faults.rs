//! Makes the faults and changes of a plan and ends them.

use std::{io, sync::Arc, time::Duration};

use lw_standin::hosted::store::StoreMode;
use tokio::time::{Instant, sleep};

use super::{DRAIN, END_MAX, REVOKE, World, lock};
use crate::{
    judge::Window,
    plan::{Event, Fault, Harm},
    proxy::Proxy,
};

/// Makes a fault at its time and records when it was in force.
pub(super) async fn happen(world: Arc<World>, event: Event) {
    sleep(event.at).await;
    let from = Instant::now();
    let fault = event.fault.clone();
    if let Err(e) = world.apply(event).await {
        world.find(format!("{fault:?} could not be made: {e}"));
    }
    lock(&world.windows).push(Window { fault, from, to: Instant::now() });
}

impl World {
    /// Makes a fault and ends it.
    async fn apply(&self, event: Event) -> io::Result<()> {
        let lasts = event.lasts;
        match event.fault {
            Fault::Pause(vm) => self.vms[vm].pause(lasts).await?,
            Fault::Kill(vm) => self.restart(vm, lasts, true).await?,
            Fault::Drain(vm) => self.restart(vm, lasts, false).await?,
            Fault::Hangup(vm) => self.vms[vm].signal("-HUP").await?,
            Fault::StorePath(vm, harm) => harmed(&self.store_paths[vm], harm, lasts).await,
            Fault::UpstreamPath(n, harm) => harmed(&self.paths[n], harm, lasts).await,
            Fault::Store(mode) => {
                self.store.set_mode(mode);
                sleep(lasts).await;
                self.store.set_mode(StoreMode::Normal);
            }
            Fault::Compact => self.store.compact(),
            Fault::Answers(all) => all.into_iter().for_each(|answer| self.answers.push(answer)),
            Fault::Leave(n) => self.leave(n, lasts).await,
            Fault::Revoke => self.revoke(lasts).await,
            Fault::Version => {
                let mut operators = lock(&self.operators);
                operators.weights += 1;
                self.name_weights(operators.weights);
            }
            Fault::Reconfigure => self.configure(&mut lock(&self.operators)),
        }
        Ok(())
    }

    async fn restart(&self, n: usize, pause: Duration, is_kill: bool) -> io::Result<()> {
        let _alone = self.restarts[n].lock().await;
        let vm = &self.vms[n];
        if vm.has_ended().await? {
            self.find(format!("{} ended by itself", vm.place.vm));
        }
        if is_kill {
            vm.kill().await?;
        } else if !vm.drain(END_MAX).await? {
            self.find(format!("{} did not end when told", vm.place.vm));
        }
        sleep(pause).await;
        vm.start().await
    }

    async fn leave(&self, n: usize, lasts: Duration) {
        if std::mem::replace(&mut lock(&self.operators).is_leaving[n], true) {
            return;
        }
        let from = Instant::now();
        {
            let _operators = lock(&self.operators);
            self.register(n, "leaving");
        }
        sleep(DRAIN + lasts).await;
        let mut operators = lock(&self.operators);
        operators.is_leaving[n] = false;
        operators.leaving.push((n, from, Instant::now()));
        self.register(n, "ready");
    }

    async fn revoke(&self, lasts: Duration) {
        let from = {
            let mut operators = lock(&self.operators);
            if !std::mem::replace(&mut operators.has_other_key, false) {
                return;
            }
            self.configure(&mut operators);
            Instant::now()
        };
        sleep(REVOKE + lasts).await;
        let mut operators = lock(&self.operators);
        operators.has_other_key = true;
        operators.revoked.push((from, Instant::now()));
        self.configure(&mut operators);
    }
}

async fn harmed(path: &Proxy, harm: Harm, lasts: Duration) {
    path.set(harm);
    sleep(lasts).await;
    path.set(Harm::None);
}
