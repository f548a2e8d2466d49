//! Load reports, cache events and digests between engines and VMs; refusals and faults.

use std::{rc::Rc, time::Duration};

use lw_route::{Event, Request};

use super::{
    Attempt, CALLER_RETRIES_MAX, Fault, MESSAGE_LOSS_FRACTION, SimEvent, Simulation, Vm,
    duration_to_micros,
};
use crate::sim::{MILLISECOND, Micros, workload::VM_COUNT};

/// Time between two load reports, each sent with a batch of cache events.
pub(super) const REPORT_INTERVAL: Micros = 500 * MILLISECOND;
/// Shortest delay of load reports and cache events; the longest is half as much again.
const REPORT_DELAY_MIN: Micros = 500 * MILLISECOND;
/// Bytes of a digest without entries: IP and UDP headers, and the digest as it is encoded for peers.
const EMPTY_DIGEST_BYTES: usize = 28 + 16;
/// Encoded bytes of one entry of a digest without its block hashes.
const DIGEST_ENTRY_BYTES: usize = 20;

impl Simulation {
    /// Records an arrived request; returns it with its deadline reduced by the share of its workspace.
    pub(super) fn record_offered(&mut self, request_index: usize) -> Request {
        let mut request = self.requests[request_index].clone();
        let vm = &mut self.vms[self.setup.arrivals[request_index].vm];
        if let Some(admission) = &mut vm.admission {
            let deadline_fraction =
                admission.record_offered(&request.scope.workspace, request.fingerprint.tokens);
            request.deadline = request.deadline.mul_f64(deadline_fraction);
        }
        request
    }

    /// Records a request that is sent to an engine.
    pub(super) fn record_admitted(&mut self, request_index: usize) {
        let request = &self.requests[request_index];
        let vm = &mut self.vms[self.setup.arrivals[request_index].vm];
        if let Some(admission) = &mut vm.admission {
            admission.record_admitted(&request.scope.workspace, request.fingerprint.tokens);
        }
    }

    /// Sends the admission digest of a VM to its peers when it is due.
    fn send_admission_digest(&mut self, vm: usize) {
        let now = self.router_time();
        let Some(admission) = &mut self.vms[vm].admission else { return };
        if now < admission.next_digest() {
            return;
        }
        let digest = Rc::new(admission.digest(now));
        for peer in (0..VM_COUNT).filter(|peer| *peer != vm) {
            if self.rng.f64() >= MESSAGE_LOSS_FRACTION {
                let delay = self.link_delay(vm, peer);
                self.schedule_after(delay, SimEvent::AdmissionDigest(peer, digest.clone()));
            }
        }
    }

    pub(super) fn refuse(&mut self, request: usize, wait: Duration) {
        self.run.requests[request].refusal_count += 1;
        self.run.refusals.push((self.now, duration_to_micros(wait)));
        if self.run.requests[request].refusal_count <= CALLER_RETRIES_MAX {
            self.schedule_after(
                duration_to_micros(wait) + 2 * self.setup.caller_link_delay,
                SimEvent::Arrive(request),
            );
        }
    }

    pub(super) fn record_stall(&mut self, attempt: usize) {
        let Attempt { request, number, vm, is_ended, .. } = self.attempts[attempt];
        if !is_ended {
            let id = self.requests[request].id.clone();
            self.record_in_router(vm, Event::Stalled { request: &id, attempt: number });
        }
    }

    pub(super) fn send_engine_report(&mut self, engine: usize) {
        let report = Rc::new(self.engines[engine].load_report());
        let events = Rc::new(self.engines[engine].take_cache_events());
        for vm in 0..VM_COUNT {
            let delay = REPORT_DELAY_MIN + self.rng.u64(0..REPORT_DELAY_MIN / 2);
            if self.rng.f64() >= MESSAGE_LOSS_FRACTION {
                self.schedule_after(delay, SimEvent::LoadReport(vm, engine, report.clone()));
            }
            self.schedule_after(delay, SimEvent::CacheEvents(vm, engine, events.clone()));
        }
        self.schedule_after(REPORT_INTERVAL, SimEvent::SendEngineReport(engine));
    }

    pub(super) fn send_digests(&mut self, vm: usize) {
        self.send_admission_digest(vm);
        let now = self.router_time();
        if let (Some(router), Some(interval)) =
            (&mut self.vms[vm].router, self.setup.digest_interval)
        {
            let digest = Rc::new(router.digest(now));
            if !digest.entries.is_empty() {
                let blocks: usize = digest.entries.iter().map(|entry| entry.blocks.len()).sum();
                let bytes =
                    EMPTY_DIGEST_BYTES + DIGEST_ENTRY_BYTES * digest.entries.len() + 8 * blocks;
                for peer in (0..VM_COUNT).filter(|peer| *peer != vm) {
                    self.run.digest_bytes += bytes;
                    if self.rng.f64() >= MESSAGE_LOSS_FRACTION {
                        let delay = self.link_delay(vm, peer);
                        self.schedule_after(delay, SimEvent::Digest(peer, digest.clone()));
                    }
                }
            }
            self.schedule_after(interval, SimEvent::DigestTick(vm));
        }
    }

    pub(super) fn apply_fault(&mut self, fault: Fault) {
        match fault {
            Fault::Slow(engine, factor) => self.engines[engine].slowdown = factor,
            Fault::Restart(engine) => {
                self.step_epochs[engine] += 1;
                for attempt in self.engines[engine].restart() {
                    let delay = self.link_delay(self.attempts[attempt].vm, engine);
                    self.schedule_after(delay, SimEvent::AttemptLost(attempt));
                }
                self.engines[engine].is_stepping = false;
            }
            Fault::RestartRouters => {
                for vm in 0..VM_COUNT {
                    let (engines, seed) = (self.engines.len(), self.setup.seed);
                    self.vms[vm].router = Vm::new(&self.setup.policy, vm, engines, seed).router;
                }
            }
        }
    }
}
