//! Messages about segments of prompts that crash engines.

use std::time::Duration;

use lw_observe::logs::millis;
use lw_quarantine::{Basis, CrashReport, SegmentSet, Suspect};
use lw_types::prelude::*;
use serde::{Deserialize, Serialize};

use super::{Message, Notice};
use crate::state::Edge;

/// An attempt as it is encoded in [`Notice::Crash`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SuspectWire {
    attempt_id: u64,
    segments: Vec<SegmentId>,
}

/// A segment and the age of a sound answer on it, as encoded in [`Notice::Sound`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SoundWire {
    segment: SegmentId,
    age_ms: u64,
}

impl From<&Suspect> for SuspectWire {
    fn from(suspect: &Suspect) -> Self {
        Self { attempt_id: suspect.attempt_id, segments: suspect.segments.clone() }
    }
}

impl From<&SuspectWire> for Suspect {
    fn from(wire: &SuspectWire) -> Self {
        Self { attempt_id: wire.attempt_id, segments: wire.segments.clone() }
    }
}

impl From<&(SegmentId, Duration)> for SoundWire {
    fn from((segment, age): &(SegmentId, Duration)) -> Self {
        Self { segment: *segment, age_ms: millis(*age) }
    }
}

impl From<&CrashReport> for Notice {
    fn from(report: &CrashReport) -> Self {
        Self::Crash {
            upstream: report.upstream.clone(),
            age_ms: millis(report.age),
            suspects: report.suspects.iter().map(SuspectWire::from).collect(),
        }
    }
}

/// Applies a message about segments that crash engines.
pub(super) fn apply(edge: &Edge, message: &Message) {
    let now = edge.timer.now_including_suspend();
    edge.quarantine.record(|quarantine| match &message.notice {
        Notice::Crash { upstream, age_ms, suspects } => {
            let report = CrashReport {
                upstream: upstream.clone(),
                age: Duration::from_millis(*age_ms),
                suspects: suspects.iter().map(Suspect::from).collect(),
            };
            quarantine.record_report(now, &message.vm, &report);
        }
        Notice::Sound(segments) => {
            let age = |sound: &SoundWire| Duration::from_millis(sound.age_ms);
            let segments: Vec<_> = segments.iter().map(|s| (s.segment, age(s))).collect();
            quarantine.record_vouched(now, &segments);
        }
        Notice::Quarantined { segments, age_ms, crashes } if !segments.is_empty() => {
            let set: SegmentSet = segments.iter().copied().collect();
            let basis = Basis { age: Duration::from_millis(*age_ms), crashes: *crashes };
            quarantine.record_announced(now, set, basis);
        }
        Notice::Released { segments } => {
            quarantine.record_released(now, &segments.iter().copied().collect());
        }
        _ => {}
    });
}
