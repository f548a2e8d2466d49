//! A model of the platform's store: keys with revisions, leases, conditional writes, and returns from an older copy.

use std::collections::{BTreeMap, VecDeque};

use lw_order::{
    handover::IssuerRecord,
    tenure::{Key, LeaseId, Transaction},
};
use lw_types::prelude::*;

/// Lifetime of the entry of a VM in ms.
const REGISTRATION_TTL: u64 = 4_000;
/// Time in ms for which copies are kept, and the time between two of them.
const COPIES_KEPT: u64 = 10_000;
const COPY_PERIOD: u64 = 100;

#[derive(Debug, Clone)]
pub struct Item {
    pub record: IssuerRecord,
    pub era: Era,
    pub revision: Revision,
    lease: LeaseId,
}

#[derive(Debug, Clone, Default)]
pub struct Content {
    pub revision: Revision,
    pub issuer: Option<Item>,
    pub last_issuer: Option<Item>,
    /// Ends of the leases in ms.
    leases: BTreeMap<LeaseId, u64>,
    last_lease: LeaseId,
    /// The recorded era that has settled.
    pub settled: Option<Era>,
    /// The registered VMs: revision, and end of the entry in ms.
    pub vms: BTreeMap<usize, (Revision, u64)>,
    /// The target version of the weights.
    pub version: u64,
}

#[derive(Debug, Clone)]
pub enum Call {
    Read,
    CreateLease,
    Write(Transaction),
    Renew(LeaseId),
    EndLease(LeaseId),
    /// Records that an era has settled.
    Settle(Era),
    /// Writes the entry of a VM, or renews its lease.
    Register {
        is_start: bool,
    },
}

#[derive(Debug)]
pub enum Answer {
    Content(Box<Content>),
    Lease(LeaseId),
    Written(Revision),
    Done,
    Conflict,
    Absent,
    Unavailable,
}

#[derive(Debug)]
pub struct Store {
    pub era: Era,
    pub content: Content,
    copies: VecDeque<(u64, Content)>,
    lease_ttl: u64,
}

impl Store {
    pub fn new(lease_ttl: u64) -> Self {
        let content = Content { revision: 10, version: 1, ..Content::default() };
        Self { era: 1, content, copies: VecDeque::new(), lease_ttl }
    }

    /// Removes what has expired, and copies the content now and then.
    pub fn advance(&mut self, now: u64) {
        let content = &mut self.content;
        let ended: Vec<_> =
            content.leases.iter().filter(|(_, end)| **end <= now).map(|(id, _)| *id).collect();
        for id in ended {
            content.end_lease(id);
        }
        let vms = content.vms.len();
        content.vms.retain(|_, (_, end)| *end > now);
        content.revision += u64::from(content.vms.len() < vms);
        if self.copies.back().is_none_or(|(at, _)| now >= at + COPY_PERIOD) {
            self.copies.push_back((now, content.clone()));
            while self.copies.front().is_some_and(|(at, _)| at + COPIES_KEPT < now) {
                self.copies.pop_front();
            }
        }
    }

    /// Extends all leases, which paused for this time.
    pub fn extend_leases(&mut self, time: u64) {
        self.content.leases.values_mut().for_each(|end| *end += time);
        self.content.vms.values_mut().for_each(|(_, end)| *end += time);
    }

    /// Returns from the copy made at `copy_at` or the next one after it. Its leases begin anew.
    pub fn restore(&mut self, now: u64, copy_at: u64) {
        let copy = self.copies.iter().find(|(at, _)| *at >= copy_at).or(self.copies.back());
        if let Some((_, copy)) = copy {
            self.content = copy.clone();
        }
        self.era += 1;
        self.content.leases.values_mut().for_each(|end| *end = now + self.lease_ttl);
        self.content.vms.values_mut().for_each(|(_, end)| *end = now + REGISTRATION_TTL);
        self.copies.clear();
    }

    /// Sets the target version, as operators do.
    pub fn set_version(&mut self, version: u64) {
        self.content.revision += 1;
        self.content.version = version;
    }

    pub fn execute(&mut self, now: u64, vm: usize, call: &Call) -> Answer {
        self.advance(now);
        let content = &mut self.content;
        match call {
            Call::Read => Answer::Content(Box::new(content.clone())),
            Call::CreateLease => {
                content.last_lease += 1;
                content.leases.insert(content.last_lease, now + self.lease_ttl);
                Answer::Lease(content.last_lease)
            }
            Call::Write(transaction) => content.write(transaction),
            Call::Renew(id) => match content.leases.get_mut(id) {
                Some(end) => {
                    *end = now + self.lease_ttl;
                    Answer::Done
                }
                None => Answer::Absent,
            },
            Call::EndLease(id) if !content.leases.contains_key(id) => Answer::Absent,
            Call::EndLease(id) => {
                content.end_lease(*id);
                Answer::Done
            }
            Call::Settle(era) => {
                content.revision += 1;
                content.settled = content.settled.max(Some(*era));
                Answer::Done
            }
            Call::Register { is_start } => {
                let entry = content.vms.get(&vm).filter(|_| !is_start).copied();
                content.revision += u64::from(entry.is_none());
                let revision = entry.map_or(content.revision, |(revision, _)| revision);
                content.vms.insert(vm, (revision, now + REGISTRATION_TTL));
                Answer::Done
            }
        }
    }
}

impl Content {
    fn item(&mut self, key: Key) -> &mut Option<Item> {
        match key {
            Key::Issuer => &mut self.issuer,
            Key::LastIssuer => &mut self.last_issuer,
        }
    }

    fn write(&mut self, transaction: &Transaction) -> Answer {
        for (key, revision) in &transaction.expected {
            if self.item(*key).as_ref().map_or(0, |item| item.revision) != *revision {
                return Answer::Conflict;
            }
        }
        let has_lease = |lease| lease == 0 || self.leases.contains_key(&lease);
        if !transaction.writes.iter().all(|write| has_lease(write.lease)) {
            return Answer::Absent;
        }
        self.revision += 1;
        let revision = self.revision;
        for write in &transaction.writes {
            let (record, era, lease) = (write.record.clone(), write.era, write.lease);
            *self.item(write.key) = Some(Item { record, era, revision, lease });
        }
        for key in &transaction.removes {
            *self.item(*key) = None;
        }
        Answer::Written(revision)
    }

    fn end_lease(&mut self, id: LeaseId) {
        self.leases.remove(&id);
        for key in [Key::Issuer, Key::LastIssuer] {
            if self.item(key).as_ref().is_some_and(|item| item.lease == id) {
                self.revision += 1;
                *self.item(key) = None;
            }
        }
    }
}
