//! Checks the requests, answers and orders recorded in a run against what lavenderwood guarantees.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use lw_standin::hosted::{
    caller::{OTHER_KEY, Reply},
    limit::LimitHistory,
    upstream::{AcceptedOrder, ReceivedRequest, STREAM_EVENTS, event},
};
use tokio::time::Instant;

use crate::{
    callers::{RequestRecord, is_stream},
    schedule::Fault,
};

mod streams;

/// Longest time after a fault of a VM or of its path to the store in which the VM may still act on stale state.
const RECONNECT_TIME_MAX: Duration = Duration::from_secs(3);
/// Time before and after a kill or pause in which connections may end without an answer.
const INTERRUPTION_MARGIN: Duration = Duration::from_millis(500);

/// Time within which a configuration is in force at a VM without a fault.
const CONFIG_TIME_MAX: Duration = Duration::from_secs(2);
/// Time after which a limit that an engine names must be kept, and for which a fault excuses a VM.
const LIMIT_TIME_MAX: Duration = Duration::from_secs(3);

/// Time after the end of a stall in which an engine may receive what was sent to it meanwhile.
const STALL_END_MARGIN: Duration = Duration::from_millis(200);

/// A fault and when it was in force.
#[derive(Debug, Clone)]
pub struct ActiveFault {
    /// The fault.
    pub fault: Fault,
    /// Its start.
    pub from: Instant,
    /// Its end.
    pub to: Instant,
}

impl ActiveFault {
    fn overlaps(&self, from: Instant, to: Instant) -> bool {
        self.from <= to && self.to >= from
    }
}

/// Everything recorded in a run.
#[derive(Debug)]
pub struct Trace {
    /// Requests of callers.
    pub records: Vec<RequestRecord>,
    /// Requests that each upstream received.
    pub received: Vec<Vec<ReceivedRequest>>,
    /// Limits that each upstream named, by the time since `started_at`.
    pub limits: Vec<LimitHistory>,
    /// When the run started.
    pub started_at: Instant,
    /// Orders that each upstream accepted.
    pub orders: Vec<Vec<AcceptedOrder>>,
    /// Faults and when they were in force.
    pub active_faults: Vec<ActiveFault>,
    /// When the other workspace's key was revoked and restored.
    pub revocations: Vec<(Instant, Instant)>,
    /// Numbers of the upstreams that were registered as leaving, each with its start and end.
    pub leaving: Vec<(usize, Instant, Instant)>,
    /// When the other workspace became isolated or open.
    pub isolations: Vec<(Instant, bool)>,
    /// Time within which a revoked key must be refused.
    pub revocation_time_max: Duration,
    /// Time after which a leaving upstream must receive no further requests.
    pub leaving_time_max: Duration,
    /// Time after SIGTERM at which a VM has ended.
    pub grace: Duration,
}

impl Trace {
    /// Returns a line for each violated guarantee.
    #[must_use]
    pub fn findings(&self) -> Vec<String> {
        let mut run_counts: HashMap<&str, usize> = HashMap::new();
        let mut received_counts: HashMap<&str, usize> = HashMap::new();
        for received in self.received.iter().flatten() {
            let id = received.request.header("x-attempt-id").unwrap_or_default();
            *received_counts.entry(id).or_default() += 1;
            *run_counts.entry(id).or_default() += usize::from(received.is_executed);
        }
        let mut findings = Vec::new();
        for record in &self.records {
            let runs = run_counts.get(record.id.as_str()).copied().unwrap_or(0);
            if record.path.starts_with("/book") && runs > 1 {
                findings
                    .push(format!("non-repeatable call ran {runs} times: {}", describe(record)));
            }
            match &record.reply {
                Some(reply) => findings.extend(self.check_answer(record, reply, runs)),
                None if self
                    .may_be_lost(record, received_counts.contains_key(record.id.as_str())) => {}
                None => findings.push(format!("no answer received: {}", describe(record))),
            }
        }
        findings.extend(self.streams_without_answer());
        findings.extend(self.accepted_revoked_keys());
        findings.extend(self.requests_to_leaving_upstreams());
        findings.extend(self.caches_shared_with_isolated());
        findings.extend(self.requests_beyond_limits());
        findings.extend(self.check_orders());
        findings
    }

    /// Returns a finding if the answer does not fit its request; `runs` is how often an upstream ran it.
    fn check_answer(&self, record: &RequestRecord, reply: &Reply, runs: usize) -> Option<String> {
        let finding = |what: &str| Some(format!("{what}: {} {:?}", describe(record), reply.text()));
        if reply.header("x-attempt-id") != Some(record.id.as_str()) {
            return finding("answer carries the id of another request");
        }
        let text = reply.text();
        if text.contains("\"ran\":\"no\"") && runs > 0 {
            return finding("refused as not run, but it ran");
        }
        let is_signed = reply.header("x-response-seal").is_some();
        if reply.status == 200 && !is_signed {
            return finding("status 200 without the signature of an upstream");
        }
        if reply.status != 200 {
            return None;
        }
        // Stand-ins with a fault answer with any of these bodies, whichever route was requested.
        let events = (1..=STREAM_EVENTS).flat_map(event).collect();
        let expected_bodies = [b"ok".to_vec(), events, b"whole answer".to_vec()];
        let is_expected = expected_bodies.iter().any(|expected| {
            if reply.is_complete {
                *expected == reply.body
            } else {
                expected.starts_with(&reply.body)
            }
        });
        if !is_expected {
            return finding("unexpected body");
        }
        let is_cut = !reply.is_complete && !is_stream(record.path);
        if is_cut && !self.was_interrupted(record) {
            return finding("answer is incomplete");
        }
        None
    }

    /// Faults of the VM's process.
    fn process_faults(&self, vm: usize) -> impl Iterator<Item = &ActiveFault> {
        self.active_faults.iter().filter(move |active| match active.fault {
            Fault::Pause(of) | Fault::Kill(of) | Fault::Drain(of) => of == vm,
            Fault::StallMachine => true,
            _ => false,
        })
    }

    /// Whether the VM was killed or paused during the request.
    fn was_interrupted(&self, record: &RequestRecord) -> bool {
        let mut active_faults = self.process_faults(record.vm);
        active_faults.any(|active| {
            !matches!(active.fault, Fault::Drain(_) | Fault::StallMachine)
                && active.overlaps(
                    record.sent_at - INTERRUPTION_MARGIN,
                    record.ended_at + INTERRUPTION_MARGIN,
                )
        })
    }

    /// Whether a connection may end without an answer: the VM was killed or paused, or it was draining or stood still with its
    /// machine and closed the connection before it read the request.
    fn may_be_lost(&self, record: &RequestRecord, has_reached_upstream: bool) -> bool {
        let mut active_faults = self.process_faults(record.vm);
        let may_close = active_faults.any(|active| {
            matches!(active.fault, Fault::Drain(_) | Fault::StallMachine)
                && active.overlaps(record.sent_at, record.ended_at)
        });
        self.was_interrupted(record) || (may_close && !has_reached_upstream)
    }

    fn accepted_revoked_keys(&self) -> Vec<String> {
        let is_served = |record: &&RequestRecord| {
            record.key == OTHER_KEY
                && record.reply.as_ref().is_some_and(|reply| reply.status == 200)
        };
        let is_too_late = |record: &&RequestRecord| {
            self.revocations.iter().any(|(from, to)| {
                record.sent_at > *from + self.revocation_time_max && record.ended_at < *to
            })
        };
        let accepted = self.records.iter().filter(is_served).filter(is_too_late);
        accepted.map(|record| format!("revoked key accepted: {}", describe(record))).collect()
    }

    /// Whether a VM and its path to the store had no fault from [`RECONNECT_TIME_MAX`] before `from` until `to`.
    fn has_no_fault(&self, vm: usize, from: Instant, to: Instant) -> bool {
        !self.active_faults.iter().any(|active| {
            let affects_vm = match active.fault {
                Fault::Pause(of) | Fault::Kill(of) | Fault::Drain(of) | Fault::StorePath(of, _) => {
                    of == vm
                }
                Fault::StallMachine
                | Fault::Store(_)
                | Fault::CompactStore
                | Fault::RestoreStore(_) => true,
                _ => false,
            };
            affects_vm && active.overlaps(from - RECONNECT_TIME_MAX, to)
        })
    }

    fn requests_to_leaving_upstreams(&self) -> Vec<String> {
        let by_id: HashMap<&str, &RequestRecord> =
            self.records.iter().map(|record| (record.id.as_str(), record)).collect();
        let mut findings = Vec::new();
        for (upstream, from, to) in &self.leaving {
            for received in &self.received[*upstream] {
                let id = received.request.header("x-attempt-id").unwrap_or_default();
                let Some(record) = by_id.get(id) else { continue };
                let is_too_late =
                    record.sent_at > *from + self.leaving_time_max && received.at < *to;
                if is_too_late && self.has_no_fault(record.vm, *from, received.at) {
                    findings.push(format!(
                        "request to leaving upstream {upstream}: {}",
                        describe(record)
                    ));
                }
            }
        }
        findings
    }

    /// Returns a finding for each request that used what another workspace had cached while one of the two was isolated, at a VM
    /// that had no fault since that came into force.
    fn caches_shared_with_isolated(&self) -> Vec<String> {
        let by_id: HashMap<&str, &RequestRecord> =
            self.records.iter().map(|record| (record.id.as_str(), record)).collect();
        let mut findings = Vec::new();
        for received in &self.received {
            // The workspace that first sent a request under a salt has made what is cached there.
            let mut makers: HashMap<&str, &str> = HashMap::new();
            for got in received {
                let header = |name| got.request.header(name).unwrap_or_default();
                let (salt, workspace) = (header("x-cache-salt"), header("x-tenant"));
                if salt.is_empty() || *makers.entry(salt).or_insert(workspace) == workspace {
                    continue;
                }
                let last = self.isolations.iter().rfind(|(at, _)| *at <= got.at);
                let Some((since, true)) = last else { continue };
                let Some(record) = by_id.get(header("x-attempt-id")) else { continue };
                if got.at > *since + CONFIG_TIME_MAX && self.has_no_fault(record.vm, *since, got.at)
                {
                    findings.push(format!(
                        "cache shared with an isolated workspace: {} under {salt}",
                        describe(record)
                    ));
                }
            }
        }
        findings
    }

    /// Returns a finding for each upstream that got more requests than the limit that it named allows, from VMs that had no
    /// fault and over a path that had none, while it did not stand still.
    fn requests_beyond_limits(&self) -> Vec<String> {
        let by_id: HashMap<&str, &RequestRecord> =
            self.records.iter().map(|record| (record.id.as_str(), record)).collect();
        let mut findings = Vec::new();
        for (upstream, history) in self.limits.iter().enumerate() {
            let is_sound = |at: Instant| {
                !self.active_faults.iter().any(|active| match &active.fault {
                    Fault::UpstreamPath(of, _) => {
                        *of == upstream && active.overlaps(at - LIMIT_TIME_MAX, at)
                    }
                    // It receives at once what was sent to it meanwhile.
                    Fault::StallEngines(of) => {
                        of.contains(&upstream) && active.overlaps(at - STALL_END_MARGIN, at)
                    }
                    _ => false,
                })
            };
            let counts = |received: &&ReceivedRequest| {
                let id = received.request.header("x-attempt-id").unwrap_or_default();
                let Some(record) = by_id.get(id) else { return false };
                let mut faults = self.vm_faults(record.vm);
                is_sound(received.at)
                    && !faults
                        .any(|active| active.overlaps(received.at - LIMIT_TIME_MAX, received.at))
            };
            let arrivals = self.received[upstream].iter().filter(counts);
            let arrivals: Vec<_> =
                arrivals.map(|got| got.at.saturating_duration_since(self.started_at)).collect();
            if let Some(excess) = history.first_excess(&arrivals, LIMIT_TIME_MAX) {
                findings.push(format!("upstream {upstream} got more than its limit: {excess:?}"));
            }
        }
        findings
    }

    /// Faults of the VM's process and of its path to the store.
    fn vm_faults(&self, vm: usize) -> impl Iterator<Item = &ActiveFault> {
        self.active_faults.iter().filter(move |active| match active.fault {
            Fault::Pause(of) | Fault::Kill(of) | Fault::Drain(of) | Fault::StorePath(of, _) => {
                of == vm
            }
            Fault::StallMachine => true,
            _ => false,
        })
    }

    fn check_orders(&self) -> Vec<String> {
        let mut issuers: BTreeMap<u64, &str> = BTreeMap::new();
        let mut findings = Vec::new();
        for (upstream, orders) in self.orders.iter().enumerate() {
            for order in orders {
                let issuer = issuers.entry(order.fence).or_insert(&order.issuer);
                if *issuer != order.issuer {
                    findings.push(format!("two issuers used the same fencing number: {order:?}"));
                }
            }
            if !orders.is_sorted_by_key(|order| order.version) {
                findings.push(format!(
                    "upstream {upstream} was ordered to load an earlier version: {orders:?}"
                ));
            }
        }
        findings
    }
}

fn describe(record: &RequestRecord) -> String {
    let status = record.reply.as_ref().map(|reply| reply.status);
    let elapsed = record.ended_at.saturating_duration_since(record.sent_at);
    format!("request {} {} status {status:?} after {elapsed:?}", record.id, record.path)
}
