//! Guards against answers that are given up since another VM blames their prompt, although this VM knows that it is sound.

mod common;

use common::{Simulation, ms, request};
use lw_edge::peers::{self, Announcement};
use lw_quarantine::{Basis, SegmentSet};
use lw_standin::hosted::upstream::Behaviour;

/// Returns the status of an answer in flight when the other VM announces that these segments are quarantined, after an answer on
/// the same prompt was sound.
async fn status_after_announcement(segments: &[u64]) -> Option<u16> {
    let simulation = Simulation::start().await;
    let second = simulation.start_second().await;
    let sound = simulation.send(&request("sound", "/long/x")).await.expect("an answer");
    assert_eq!(sound.status, 200);
    simulation.faults.push(Behaviour::Slow(ms(600)));
    let announce = async {
        tokio::time::sleep(ms(300)).await;
        let set: SegmentSet = segments.iter().copied().collect();
        let basis = Basis { age: ms(4_000), crashes: 5 };
        peers::announce(&second.edge, Announcement::Quarantined(&set, basis));
    };
    let req = request("in-flight", "/long/x");
    let (reply, ()) = tokio::join!(simulation.send(&req), announce);
    reply.map(|reply| reply.status)
}

#[tokio::test]
async fn an_answer_in_flight_on_a_sound_segment_is_not_given_up() {
    assert_eq!(status_after_announcement(&[0xb2]).await, Some(200));
}

#[tokio::test]
async fn an_answer_in_flight_on_a_sound_prompt_is_not_given_up() {
    assert_eq!(status_after_announcement(&[0xa1, 0xb2]).await, Some(200));
}
