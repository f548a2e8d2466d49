//! Checks that streams are answered in full or at their deadline: the silence of an engine is no reason to end one sooner.

use std::{collections::HashMap, time::Duration};

use lw_standin::hosted::upstream::{Behaviour, ReceivedRequest};

use super::{INTERRUPTION_MARGIN, Trace, describe};
use crate::{
    callers::{RequestRecord, STREAM_DEADLINE, is_stream},
    schedule::{Fault, PathFault},
};

/// Time before its deadline from which a stream may end.
const DEADLINE_MARGIN: Duration = Duration::from_millis(100);
/// Fraction of the grace time after which a draining VM may end streams.
const GRACE_FRACTION: f64 = 5.0 / 6.0;
/// Time after SIGTERM from which on a VM must not take a stream that its end cuts.
const TAKEN_TIME_MAX: Duration = Duration::from_secs(3);

impl Trace {
    /// Returns a finding for each stream that ended before its deadline without a whole answer or a refusal, though nothing
    /// but silence of its engines explains that.
    pub(super) fn streams_without_answer(&self) -> Vec<String> {
        let mut received: HashMap<&str, Vec<&ReceivedRequest>> = HashMap::new();
        for request in self.received.iter().flatten() {
            let id = request.request.header("x-attempt-id").unwrap_or_default();
            received.entry(id).or_default().push(request);
        }
        let is_lost = |record: &&RequestRecord| {
            let attempts = received.get(record.id.as_str()).map_or(&[][..], Vec::as_slice);
            is_given_up(record)
                && !attempts.iter().any(|attempt| has_failed(&attempt.behaviour))
                && !self.has_excuse(record)
        };
        let lost = self.records.iter().filter(is_lost);
        lost.map(|record| format!("stream ended before its deadline: {}", describe(record)))
            .collect()
    }

    /// Whether a fault of the VM or of a path to an upstream may end a stream.
    fn has_excuse(&self, record: &RequestRecord) -> bool {
        self.active_faults.iter().any(|active| {
            let overlaps = || {
                active.overlaps(
                    record.sent_at - INTERRUPTION_MARGIN,
                    record.ended_at + INTERRUPTION_MARGIN,
                )
            };
            match active.fault {
                Fault::Kill(vm) => vm == record.vm && overlaps(),
                Fault::Drain(vm) => {
                    let ends_at = active.from + self.grace.mul_f64(GRACE_FRACTION);
                    let is_due = record.sent_at <= active.from + TAKEN_TIME_MAX
                        && record.ended_at >= ends_at;
                    vm == record.vm && is_due && overlaps()
                }
                Fault::UpstreamPath(_, PathFault::Reset) => overlaps(),
                _ => false,
            }
        })
    }
}

/// Whether a stream got neither a whole answer nor an upstream's own failure nor a refusal, and ended before its deadline.
fn is_given_up(record: &RequestRecord) -> bool {
    let Some(reply) = &record.reply else { return false };
    let is_cut = match reply.status {
        200 => !reply.is_complete,
        502 | 504 => reply.header("x-response-seal").is_none(),
        _ => false,
    };
    let due = record.sent_at + STREAM_DEADLINE - DEADLINE_MARGIN;
    is_stream(record.path) && is_cut && record.ended_at < due
}

/// Whether the upstream broke off its answer, or sent another one than a stream or a refusal.
fn has_failed(behaviour: &Behaviour) -> bool {
    !matches!(
        behaviour,
        Behaviour::Normal
            | Behaviour::Slow(_)
            | Behaviour::DelayedEvents(_)
            | Behaviour::NoAnswer
            | Behaviour::Reject
    )
}
