//! Digests of the demand for engines under pressure, as VMs tell each other.

use lw_limit::admission::overload::{
    Key, Level,
    demand::{ENTRIES_MAX, Entry},
};
use serde::{Deserialize, Serialize};

use super::{Message, Notice, Recipient, send_message};
use crate::{admission::Digest, state::Edge};

/// VMs of the own failure domain that get a digest, and VMs of all others.
const LOCAL_RECIPIENTS: usize = 4;
const OTHER_RECIPIENTS: usize = 2;
/// Units of the encoded numbers: work is in tenths of a millisecond.
const SCALE: f64 = 10.0;

/// Demand of one workspace and level, as it is encoded in [`Notice::Demand`]: hash of the workspace, priorities of workspace
/// and route, work a second over the short and the long time, work of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct DemandWire(u32, u8, u8, u32, u32, u32);

impl From<&Entry> for DemandWire {
    fn from(entry: &Entry) -> Self {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the work of one VM is far below 2^32; the cast saturates"
        )]
        let scaled = |ms: f64| (ms * SCALE).round() as u32;
        let Level { workspace, route } = entry.key.level;
        let (short, long, size) = (scaled(entry.short), scaled(entry.long), scaled(entry.size));
        Self(entry.key.workspace, workspace, route, short, long, size)
    }
}

impl From<&DemandWire> for Entry {
    fn from(wire: &DemandWire) -> Self {
        let DemandWire(workspace, priority, route, short, long, size) = *wire;
        let ms = |scaled: u32| f64::from(scaled) / SCALE;
        Self {
            key: Key { workspace, level: Level { workspace: priority, route } },
            short: ms(short),
            long: ms(long),
            size: ms(size),
        }
    }
}

/// Sends a digest to a few VMs that are selected at random, so that the bytes of a VM do not depend on their number.
pub(crate) fn send(edge: &Edge, digest: &Digest) {
    let (mut local, mut other): (Vec<_>, Vec<_>) = {
        let view = edge.store_view();
        let others = view.vms().filter(|(vm, _)| **vm != edge.settings.vm);
        let recipients = others
            .map(|(_, entry)| (entry.failure_domain == edge.settings.failure_domain, entry.addr));
        recipients.partition(|(is_local, _)| *is_local)
    };
    fastrand::shuffle(&mut local);
    fastrand::shuffle(&mut other);
    local.truncate(LOCAL_RECIPIENTS);
    other.truncate(OTHER_RECIPIENTS);
    let recipients: Vec<_> = local
        .iter()
        .chain(&other)
        .map(|(_, addr)| Recipient { addr: *addr, is_relay: false })
        .collect();
    let entries = digest.entries.iter().map(DemandWire::from).collect();
    let notice = Notice::Demand { service: digest.service, entries };
    let message = Message { vm: edge.settings.vm.clone(), notice, is_for_relay: false };
    send_message(edge, message, &recipients);
    edge.metrics.demand_digests.inc_by(u64::try_from(recipients.len()).unwrap_or(u64::MAX));
}

/// Applies the digest of another VM.
pub(super) fn apply(edge: &Edge, vm: &str, service: u32, entries: &[DemandWire]) {
    let entries = entries.iter().take(ENTRIES_MAX).map(Entry::from).collect();
    edge.admission.apply(edge.timer.now(), vm, &Digest { service, entries });
}
