//! Checks the promises on what callers and upstreams saw.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use lw_standin::hosted::{
    caller::{OTHER_KEY, Reply},
    upstream::{AcceptedOrder, ReceivedRequest, STREAM_EVENTS, event},
};
use tokio::time::Instant;

use crate::{callers::Record, plan::Fault};

/// A VM is out of touch for this long after a fault of its own or of its path to the store.
const CONTACT: Duration = Duration::from_secs(3);
/// Time around a kill or pause in which connections may end without an answer.
const KILL_MARGIN: Duration = Duration::from_millis(500);

/// A fault and when it was in force.
#[derive(Debug, Clone)]
pub struct Window {
    /// What happened.
    pub fault: Fault,
    /// Since when.
    pub from: Instant,
    /// Until when.
    pub to: Instant,
}

impl Window {
    fn overlaps(&self, from: Instant, to: Instant) -> bool {
        self.from <= to && self.to >= from
    }
}

/// All that was seen in a run.
#[derive(Debug)]
pub struct Trace {
    /// Requests of callers.
    pub records: Vec<Record>,
    /// What each upstream got.
    pub received: Vec<Vec<ReceivedRequest>>,
    /// Orders that each upstream accepted.
    pub orders: Vec<Vec<AcceptedOrder>>,
    /// Faults.
    pub windows: Vec<Window>,
    /// When the other workspace's key was taken away and given back.
    pub revoked: Vec<(Instant, Instant)>,
    /// Upstreams that were leaving.
    pub leaving: Vec<(usize, Instant, Instant)>,
    /// Time in which a revoked key must be refused.
    pub revoke: Duration,
    /// Time in which an upstream that leaves must get nothing more.
    pub drain: Duration,
}

impl Trace {
    /// What contradicts the promises.
    #[must_use]
    pub fn findings(&self) -> Vec<String> {
        let mut ran: HashMap<&str, usize> = HashMap::new();
        let mut reached: HashMap<&str, usize> = HashMap::new();
        for got in self.received.iter().flatten() {
            let id = got.request.header("x-attempt-id").unwrap_or_default();
            *reached.entry(id).or_default() += 1;
            *ran.entry(id).or_default() += usize::from(got.is_executed);
        }
        let mut findings = Vec::new();
        for record in &self.records {
            let runs = ran.get(record.id.as_str()).copied().unwrap_or(0);
            if record.path.starts_with("/book") && runs > 1 {
                findings.push(format!("ran {runs} times: {}", told(record)));
            }
            match &record.reply {
                Some(reply) => findings.extend(self.wrong(record, reply, runs)),
                None if self.may_be_lost(record, reached.contains_key(record.id.as_str())) => {}
                None => findings.push(format!("connection ended without answer: {}", told(record))),
            }
        }
        findings.extend(self.used_revoked_keys());
        findings.extend(self.sent_to_leaving());
        findings.extend(self.wrong_orders());
        findings
    }

    fn wrong(&self, record: &Record, reply: &Reply, runs: usize) -> Option<String> {
        let say = |what: &str| Some(format!("{what}: {} {:?}", told(record), reply.text()));
        if reply.header("x-attempt-id") != Some(record.id.as_str()) {
            return say("answer of another request");
        }
        let text = reply.text();
        if text.contains("\"ran\":\"no\"") && runs > 0 {
            return say("refused as not run, but it ran");
        }
        let is_sealed = reply.header("x-response-seal").is_some();
        if reply.status == 200 && !is_sealed {
            return say("answer of nobody");
        }
        if reply.status != 200 {
            return None;
        }
        let is_stream = !matches!(record.path, "/look/x" | "/book/x");
        // Broken and slow answers of stand-ins have any of these bodies, whatever the route.
        let events = (1..=STREAM_EVENTS).flat_map(event).collect();
        let right = [b"ok".to_vec(), events, b"whole answer".to_vec()];
        let is_right = right.iter().any(|whole| {
            if reply.is_complete { *whole == reply.body } else { whole.starts_with(&reply.body) }
        });
        if !is_right {
            return say("wrong body");
        }
        let broke = !reply.is_complete && !is_stream;
        if broke && !self.was_harmed(record) {
            return say("answer broke off");
        }
        None
    }

    fn vm_windows(&self, vm: usize) -> impl Iterator<Item = &Window> {
        self.windows.iter().filter(move |window| match window.fault {
            Fault::Pause(of) | Fault::Kill(of) | Fault::Drain(of) => of == vm,
            _ => false,
        })
    }

    /// Whether the VM was killed or stood still during the request.
    fn was_harmed(&self, record: &Record) -> bool {
        let mut windows = self.vm_windows(record.vm);
        windows.any(|window| {
            !matches!(window.fault, Fault::Drain(_))
                && window.overlaps(record.sent - KILL_MARGIN, record.ended + KILL_MARGIN)
        })
    }

    /// Whether a connection may end without an answer: the VM was killed or stood still, or it was leaving and closed the
    /// connection before it read the request.
    fn may_be_lost(&self, record: &Record, has_reached_upstream: bool) -> bool {
        let mut windows = self.vm_windows(record.vm);
        let leaves = windows.any(|window| {
            matches!(window.fault, Fault::Drain(_)) && window.overlaps(record.sent, record.ended)
        });
        self.was_harmed(record) || (leaves && !has_reached_upstream)
    }

    fn used_revoked_keys(&self) -> Vec<String> {
        let served = |record: &&Record| {
            record.key == OTHER_KEY
                && record.reply.as_ref().is_some_and(|reply| reply.status == 200)
        };
        let late = |record: &&Record| {
            self.revoked
                .iter()
                .any(|(from, to)| record.sent > *from + self.revoke && record.ended < *to)
        };
        let wrong = self.records.iter().filter(served).filter(late);
        wrong.map(|record| format!("revoked key used: {}", told(record))).collect()
    }

    /// Whether a VM and its path to the store were sound from [`CONTACT`] before `from` until `to`.
    fn is_in_touch(&self, vm: usize, from: Instant, to: Instant) -> bool {
        !self.windows.iter().any(|window| {
            let concerns = match window.fault {
                Fault::Pause(of) | Fault::Kill(of) | Fault::Drain(of) | Fault::StorePath(of, _) => {
                    of == vm
                }
                Fault::Store(_) | Fault::Compact => true,
                _ => false,
            };
            concerns && window.overlaps(from - CONTACT, to)
        })
    }

    fn sent_to_leaving(&self) -> Vec<String> {
        let by_id: HashMap<&str, &Record> =
            self.records.iter().map(|record| (record.id.as_str(), record)).collect();
        let mut findings = Vec::new();
        for (upstream, from, to) in &self.leaving {
            for got in &self.received[*upstream] {
                let id = got.request.header("x-attempt-id").unwrap_or_default();
                let Some(record) = by_id.get(id) else { continue };
                let is_late = record.sent > *from + self.drain && got.at < *to;
                if is_late && self.is_in_touch(record.vm, *from, got.at) {
                    findings.push(format!("sent to leaving upstream {upstream}: {}", told(record)));
                }
            }
        }
        findings
    }

    fn wrong_orders(&self) -> Vec<String> {
        let mut issuers: BTreeMap<u64, &str> = BTreeMap::new();
        let mut findings = Vec::new();
        for (upstream, orders) in self.orders.iter().enumerate() {
            for order in orders {
                let issuer = issuers.entry(order.fence).or_insert(&order.issuer);
                if *issuer != order.issuer {
                    findings.push(format!("two issuers with one fencing number: {order:?}"));
                }
            }
            if !orders.is_sorted_by_key(|order| order.version) {
                findings.push(format!("upstream {upstream} was ordered back: {orders:?}"));
            }
        }
        findings
    }
}

fn told(record: &Record) -> String {
    let status = record.reply.as_ref().map(|reply| reply.status);
    let took = record.ended.saturating_duration_since(record.sent);
    format!("request {} {} status {status:?} after {took:?}", record.id, record.path)
}
