//! What reaches the VMs besides requests: load reports, cache events, digests; refusals and faults.

use std::{rc::Rc, time::Duration};

use lw_route::{Event, Request};

use super::{Attempt, CALLER_RETRIES, Ev, Fault, LOSS, Vm, World, micros};
use crate::sim::{MILLI, Micros, workload::VMS};

/// Load reports and batches of cache events leave engines this often.
pub(super) const REPORT_EVERY: Micros = 500 * MILLI;
/// They arrive this late, up to half as much again.
const REPORT_DELAY: Micros = 500 * MILLI;
/// Bytes of a digest without entries (with IP and UDP headers) and of one entry, as encoded for peers.
const DIGEST_BYTES: usize = 28 + 16;
const DIGEST_ENTRY_BYTES: usize = 20;

impl World {
    /// Counts an arrived request and returns it with the deadline that its workspace's share leaves.
    pub(super) fn offered(&mut self, number: usize) -> Request {
        let mut request = self.requests[number].clone();
        let vm = &mut self.vms[self.setup.arrivals[number].vm];
        if let Some(admission) = &mut vm.admission {
            let part =
                admission.record_offered(&request.scope.workspace, request.fingerprint.tokens);
            request.deadline = request.deadline.mul_f64(part);
        }
        request
    }

    /// Counts a request that is sent.
    pub(super) fn admitted(&mut self, number: usize) {
        let request = &self.requests[number];
        let vm = &mut self.vms[self.setup.arrivals[number].vm];
        if let Some(admission) = &mut vm.admission {
            admission.record_admitted(&request.scope.workspace, request.fingerprint.tokens);
        }
    }

    /// Sends the admission figures of a VM to its peers when they are due.
    fn send_shares(&mut self, vm: usize) {
        let now = self.time();
        let Some(admission) = &mut self.vms[vm].admission else { return };
        if now < admission.next_digest() {
            return;
        }
        let digest = Rc::new(admission.digest(now));
        for peer in (0..VMS).filter(|peer| *peer != vm) {
            if self.rng.f64() >= LOSS {
                let delay = self.delay(vm, peer);
                self.after(delay, Ev::Shares(peer, digest.clone()));
            }
        }
    }

    pub(super) fn refuse(&mut self, request: usize, wait: Duration) {
        self.run.served[request].refused += 1;
        self.run.refusals.push((self.now, micros(wait)));
        if self.run.served[request].refused <= CALLER_RETRIES {
            self.after(micros(wait) + 2 * self.setup.client_link, Ev::Arrive(request));
        }
    }

    pub(super) fn stalled(&mut self, attempt: usize) {
        let Attempt { request, number, vm, ended, .. } = self.attempts[attempt];
        if !ended {
            let id = self.requests[request].id.clone();
            self.record(vm, Event::Stalled { request: &id, attempt: number });
        }
    }

    pub(super) fn poll(&mut self, engine: usize) {
        let report = Rc::new(self.engines[engine].report());
        let events = Rc::new(self.engines[engine].take_events());
        for vm in 0..VMS {
            let delay = REPORT_DELAY + self.rng.u64(0..REPORT_DELAY / 2);
            if self.rng.f64() >= LOSS {
                self.after(delay, Ev::Report(vm, engine, report.clone()));
            }
            self.after(delay, Ev::Cache(vm, engine, events.clone()));
        }
        self.after(REPORT_EVERY, Ev::Poll(engine));
    }

    pub(super) fn digest(&mut self, vm: usize) {
        self.send_shares(vm);
        let now = self.time();
        if let (Some(router), Some(every)) = (&mut self.vms[vm].router, self.setup.digest_every) {
            let digest = Rc::new(router.digest(now));
            if !digest.entries.is_empty() {
                let blocks: usize = digest.entries.iter().map(|entry| entry.blocks.len()).sum();
                let bytes = DIGEST_BYTES + DIGEST_ENTRY_BYTES * digest.entries.len() + 8 * blocks;
                for peer in (0..VMS).filter(|peer| *peer != vm) {
                    self.run.digest_bytes += bytes;
                    if self.rng.f64() >= LOSS {
                        let delay = self.delay(vm, peer);
                        self.after(delay, Ev::Digest(peer, digest.clone()));
                    }
                }
            }
            self.after(every, Ev::DigestTick(vm));
        }
    }

    pub(super) fn fault(&mut self, fault: Fault) {
        match fault {
            Fault::Slow(engine, factor) => self.engines[engine].slowness = factor,
            Fault::Restart(engine) => {
                self.epochs[engine] += 1;
                for attempt in self.engines[engine].restart() {
                    let delay = self.delay(self.attempts[attempt].vm, engine);
                    self.after(delay, Ev::Lost(attempt));
                }
                self.engines[engine].is_stepping = false;
            }
            Fault::RestartRouters => {
                for vm in 0..VMS {
                    let (engines, seed) = (self.engines.len(), self.setup.seed);
                    self.vms[vm].router = Vm::new(&self.setup.policy, vm, engines, seed).router;
                }
            }
        }
    }
}
