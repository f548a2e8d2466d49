//! Guards against events of streams that callers do not read and that no limit accounts for.

mod common;
mod endless_answers;

use std::time::Duration;

use common::{Simulation, bounds, ms, request};
use endless_answers::CHUNKED_HEAD;
use lw_catalog::VmSettings;
use lw_standin::hosted::{
    caller::{Caller, CallerRequest},
    upstream::Behaviour,
};
use tokio::time::{sleep, timeout};

/// Memory of the VM; half of it is for callers, of which the connections and heads of these requests leave a third to their
/// answers. Less than the buffers of the HTTP library for all callers.
const MEMORY_BYTES: u64 = 1 << 20;
const CALLERS: usize = 8;
/// Longest time for an outcome; only a failed run takes that long.
const OUTCOME_MAX: Duration = Duration::from_secs(30);

/// Returns a chunk of one event of 4096 bytes, a comment, which needs no id.
fn event() -> &'static [u8] {
    static CHUNK: std::sync::OnceLock<Vec<u8>> = std::sync::OnceLock::new();
    CHUNK.get_or_init(|| [b"1000\r\n:".as_slice(), &[b'a'; 4093], b"\n\n\r\n"].concat())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unread_events_are_accounted_for_within_the_total() {
    let simulation = Simulation::start_with_settings(bounds(), |settings| VmSettings {
        memory_bytes: MEMORY_BYTES,
        ..settings
    })
    .await;
    for engine in &simulation.engines {
        engine.set_behaviour(Behaviour::Endless(CHUNKED_HEAD, event()));
    }
    let vm = simulation.vm.as_ref().expect("a VM");
    let memory = &vm.edge.caller_memory;
    let mut callers = Vec::new();
    for n in 0..CALLERS {
        let mut caller = Caller::connect(vm.edge.settings.callers).await.expect("connection");
        let request =
            CallerRequest { deadline_ms: 20_000, ..request(&format!("unread-{n}"), "/long/x") };
        caller.send(&request).await;
        callers.push(caller);
    }
    let total = memory.shares().total;
    let held = async {
        loop {
            let used = memory.used();
            assert!(used.total() <= total, "{used:?}");
            if used.answers >= total / 4 {
                break;
            }
            sleep(ms(5)).await;
        }
    };
    timeout(OUTCOME_MAX, held).await.expect("the events are accounted for");
    drop(callers);
    let released = async {
        while memory.used().total() > 0 {
            sleep(ms(20)).await;
        }
    };
    timeout(OUTCOME_MAX, released).await.expect("the memory is released");
}
