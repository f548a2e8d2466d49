//! Guards against held prompts that are refused although no copy of them is in flight.

mod common;

use common::{Simulation, ms, request};
use lw_platform::headers::segment_id;
use lw_quarantine::Suspect;

/// Time for which the engines accept no requests.
const BACKOFF_MS: u64 = 300;

/// Records three crashes of engines with the prompt of [`request`], the last one 0.6 s ago.
fn record_crashes(simulation: &Simulation) {
    let edge = &simulation.vm.as_ref().expect("the VM runs").edge;
    let now = edge.timer.now_including_suspend();
    let segments: Vec<_> = ["a1", "b2"].map(segment_id).to_vec();
    edge.quarantine.record(|quarantine| {
        for n in 0..3 {
            let at = now.saturating_sub(ms(1_000 - 200 * n));
            let engine = format!("crashed-{n}");
            let suspect = Suspect { attempt_id: n, segments: segments.clone() };
            quarantine.record_broken(at, &engine, suspect);
            quarantine.record_down(at, &engine);
        }
    });
}

/// Guards against a turn that is used up by a request which no engine accepts, so that the next copy is refused for seconds.
#[tokio::test]
async fn a_copy_without_an_engine_does_not_use_up_the_turn_of_its_prompt() {
    let simulation = Simulation::start().await;
    record_crashes(&simulation);
    tokio::time::sleep(ms(150)).await;
    let edge = &simulation.vm.as_ref().expect("the VM runs").edge;
    let until = edge.timer.now() + ms(BACKOFF_MS);
    edge.with_upstream_pool("llm", |pool| {
        simulation.engines.iter().for_each(|engine| pool.back_off(&engine.id, until));
    });
    let refused = simulation.send(&request("refused", "/long/x")).await.expect("an answer");
    assert_eq!(refused.status, 503, "{}", refused.head);
    tokio::time::sleep(ms(BACKOFF_MS)).await;
    let served = simulation.send(&request("served", "/long/x")).await.expect("an answer");
    assert_eq!(served.status, 200, "{} {}", served.head, served.text());
}

/// Guards against the test above passing since the prompt is not held.
#[tokio::test]
async fn a_held_prompt_is_sent_once_in_a_turn() {
    let simulation = Simulation::start().await;
    record_crashes(&simulation);
    tokio::time::sleep(ms(150)).await;
    simulation.faults.push(lw_standin::hosted::upstream::Behaviour::NoAnswer);
    let req = request("first", "/long/x");
    let check = async {
        tokio::time::sleep(ms(150)).await;
        simulation.send(&request("second", "/long/x")).await.expect("an answer")
    };
    let (_, second) = tokio::join!(simulation.send(&req), check);
    assert_eq!(second.status, 503, "{}", second.head);
    assert_eq!(simulation.run_count("second"), 0);
}
