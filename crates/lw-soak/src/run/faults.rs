//! Injects the faults and operator changes of a schedule and ends them.

use std::{io, sync::Arc, time::Duration};

use lw_standin::{hosted::store::StoreMode, proxy::Proxy};
use tokio::time::{Instant, sleep};

use super::{
    Deployment, LEAVING_TIME_MAX, REVOCATION_TIME_MAX, SHUTDOWN_TIME_MAX, UpstreamStage, lock,
};
use crate::{
    checks::ActiveFault,
    schedule::{Event, Fault, PathFault},
};

/// Time for which the store is away before it returns from an older copy.
const STORE_RETURN_TIME: Duration = Duration::from_millis(300);

/// Injects a fault at its time and records when it was in force.
pub(super) async fn run_event(deployment: Arc<Deployment>, event: Event) {
    sleep(event.at).await;
    let from = Instant::now();
    let fault = event.fault.clone();
    if let Err(e) = deployment.inject(event).await {
        deployment.add_finding(format!("{fault:?} could not be injected: {e}"));
    }
    lock(&deployment.active_faults).push(ActiveFault { fault, from, to: Instant::now() });
}

impl Deployment {
    /// Injects a fault and ends it after its duration.
    async fn inject(&self, event: Event) -> io::Result<()> {
        let duration = event.duration;
        match event.fault {
            Fault::Pause(vm) => self.vms[vm].pause(duration).await?,
            Fault::StallMachine => self.stall_machine(duration).await?,
            Fault::Kill(vm) => self.restart(vm, duration, true).await?,
            Fault::Drain(vm) => self.restart(vm, duration, false).await?,
            Fault::ReloadSettings(vm) => self.vms[vm].signal("-HUP").await?,
            Fault::StorePath(vm, fault) => {
                inject_path_fault(&self.store_paths[vm], fault, duration).await;
            }
            Fault::UpstreamPath(n, fault) => {
                inject_path_fault(&self.upstream_paths[n], fault, duration).await;
            }
            Fault::Store(mode) => {
                self.store.set_mode(mode);
                sleep(duration).await;
                self.store.set_mode(StoreMode::Normal);
            }
            Fault::CutWatches => self.store.cut_watches(),
            Fault::CompactStore => self.store.compact(),
            Fault::RestoreStore(rewrite_delay) => self.restore_store(duration, rewrite_delay).await,
            Fault::UpstreamAnswers(all) => all.into_iter().for_each(|b| self.behaviours.push(b)),
            Fault::StallEngines(engines) => {
                for engine in engines {
                    self.upstreams[engine].stall(duration);
                }
                sleep(duration).await;
            }
            Fault::EngineLimit(engine, limit) => {
                self.upstreams[engine].set_limit(Some(&limit.to_string()));
                sleep(duration).await;
                self.upstreams[engine].set_limit(None);
            }
            Fault::UpstreamLeaving(n) => {
                self.take_out(n, duration, UpstreamStage::Leaving).await;
            }
            Fault::UpstreamGone(n) => self.take_out(n, duration, UpstreamStage::Gone).await,
            Fault::ToggleIsolation => {
                let mut operators = lock(&self.operators);
                operators.is_isolated = !operators.is_isolated;
                self.write_config(&mut operators);
                let change = (Instant::now(), operators.is_isolated);
                operators.isolations.push(change);
            }
            Fault::RevokeKey => self.revoke_key(duration).await,
            Fault::TargetVersion => {
                let mut operators = lock(&self.operators);
                operators.target_version += 1;
                self.set_target_version(operators.target_version);
            }
            Fault::RewriteConfig => self.write_config(&mut lock(&self.operators)),
        }
        Ok(())
    }

    /// Lets all VMs, all upstreams and the store stand still for a time.
    async fn stall_machine(&self, time: Duration) -> io::Result<()> {
        let mut pids = Vec::new();
        for vm in &self.vms {
            pids.push(vm.suspend().await?);
        }
        self.upstreams.iter().for_each(|upstream| upstream.stall(time));
        self.store.stall(time);
        sleep(time).await;
        for (vm, pid) in self.vms.iter().zip(pids) {
            vm.resume(pid).await?;
        }
        Ok(())
    }

    /// Lets the store return from a copy of this age, and writes again later what it lost.
    async fn restore_store(&self, age: Duration, rewrite_delay: Duration) {
        let copy = self.store.copy();
        sleep(age).await;
        self.store.set_mode(StoreMode::Unavailable);
        sleep(STORE_RETURN_TIME).await;
        self.store.restore(&copy);
        self.store.set_mode(StoreMode::Normal);
        sleep(rewrite_delay).await;
        let mut operators = lock(&self.operators);
        self.write_config(&mut operators);
        self.set_target_version(operators.target_version);
        for n in 0..self.upstreams.len() {
            self.register_upstream(n, &operators);
        }
        self.register_bulk();
    }

    /// Kills or drains a VM and starts it again after `downtime`.
    async fn restart(&self, n: usize, downtime: Duration, is_kill: bool) -> io::Result<()> {
        let _guard = self.restart_locks[n].lock().await;
        let vm = &self.vms[n];
        if vm.has_ended().await? {
            self.add_finding(format!("{} ended by itself", vm.place.vm));
        }
        if is_kill {
            vm.kill().await?;
        } else if !vm.drain(SHUTDOWN_TIME_MAX).await? {
            self.add_finding(format!(
                "{} did not exit with success in time after SIGTERM",
                vm.place.vm
            ));
        }
        sleep(downtime).await;
        vm.start().await
    }

    /// Registers an upstream as leaving, or removes its entry, and registers it as ready again later. Does nothing unless it is
    /// ready.
    async fn take_out(&self, n: usize, duration: Duration, stage: UpstreamStage) {
        let from = Instant::now();
        {
            let mut operators = lock(&self.operators);
            if operators.stages[n] != UpstreamStage::Ready {
                return;
            }
            operators.stages[n] = stage;
            self.register_upstream(n, &operators);
        }
        sleep(LEAVING_TIME_MAX + duration).await;
        let mut operators = lock(&self.operators);
        operators.stages[n] = UpstreamStage::Ready;
        operators.leaving.push((n, from, Instant::now()));
        self.register_upstream(n, &operators);
    }

    /// Revokes the other workspace's key and restores it later. Does nothing while it is revoked.
    async fn revoke_key(&self, duration: Duration) {
        let from = {
            let mut operators = lock(&self.operators);
            if !std::mem::replace(&mut operators.has_other_key, false) {
                return;
            }
            self.write_config(&mut operators);
            Instant::now()
        };
        sleep(REVOCATION_TIME_MAX + duration).await;
        let mut operators = lock(&self.operators);
        operators.has_other_key = true;
        operators.revocations.push((from, Instant::now()));
        self.write_config(&mut operators);
    }
}

async fn inject_path_fault(path: &Proxy, fault: PathFault, duration: Duration) {
    path.set_fault(fault);
    sleep(duration).await;
    path.set_fault(PathFault::None);
}
