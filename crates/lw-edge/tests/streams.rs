//! Guards against slow but correct streams that are cut off, stalled ones that never end, and answers that break off at
//! any byte and appear complete.

mod common;

use std::time::Instant;

use common::{Simulation, ms, report_silence, request};
use lw_standin::hosted::upstream::{Behaviour, STREAM_EVENTS, Upstream, event};

/// Deadline of the requests of the tests.
const DEADLINE_MS: u64 = 1_500;
/// Longest time from the deadline to the end of the answer.
const END_MAX_MS: u64 = 400;

fn events() -> Vec<u8> {
    (1..=STREAM_EVENTS).flat_map(event).collect()
}

#[tokio::test]
async fn a_slow_stream_is_relayed_to_its_end() {
    let simulation = Simulation::start().await;
    for path in ["/long/x", "/short/x"] {
        simulation.faults.push(Behaviour::DelayedEvents(ms(DEADLINE_MS / (STREAM_EVENTS + 1))));
        let reply =
            simulation.send(&request(&format!("slow{path}"), path)).await.expect("an answer");
        assert!(reply.is_complete, "{path}: {}", reply.text());
        assert_eq!(reply.body, events(), "{path}");
    }
}

#[tokio::test]
async fn a_stream_of_single_bytes_ends_at_the_deadline() {
    let simulation = Simulation::start().await;
    for path in ["/long/x", "/short/x"] {
        for engine in &simulation.engines {
            engine.set_behaviour(Behaviour::SlowBytes(ms(40)));
        }
        let started = Instant::now();
        let reply = simulation.send(&request(&format!("drip{path}"), path)).await;
        assert!(reply.is_none_or(|reply| !reply.is_complete), "{path} appears complete");
        let took = started.elapsed();
        assert!(took < ms(DEADLINE_MS + END_MAX_MS), "{path} took {took:?}");
        let idle = async |simulation: &Simulation| {
            // Each engine always has one open call for its cache events.
            simulation.engines.iter().all(|engine| engine.open_requests() <= 1)
        };
        simulation.wait_until("its engine is idle", idle).await;
    }
}

#[tokio::test]
async fn an_answer_that_is_cut_off_at_any_byte_is_incomplete() {
    let simulation = Simulation::start().await;
    let calls = [("/look/x", b"ok".to_vec(), 1), ("/book/x", b"ok".to_vec(), 3)];
    let streams = [("/short/x", events(), 3), ("/long/x", events(), 7)];
    for (path, complete, step) in calls.into_iter().chain(streams) {
        // No answer is longer than this.
        for cut in (0..700).step_by(step) {
            simulation.faults.push(Behaviour::CloseAfterBytes(cut));
            let id = format!("cut-{cut}{path}");
            let reply = simulation.send(&request(&id, path)).await;
            let reply = reply.unwrap_or_else(|| panic!("{path} at {cut}: no answer"));
            let is_success = reply.status == 200 && reply.is_complete;
            assert!(!is_success || reply.body == complete, "{path} at {cut}: {}", reply.text());
            assert_ne!(
                (reply.status, simulation.run_count(&id)),
                (503, 1),
                "{path} at {cut}: it ran"
            );
        }
        simulation.faults.clear();
    }
}

/// Guards against a stream that ends as complete, or with other bytes, since the engine that resumed it stopped within the
/// head or the body of its answer.
#[tokio::test]
async fn a_resumed_answer_that_is_cut_off_at_any_byte_is_incomplete() {
    let simulation = Simulation::start().await;
    let complete = events();
    for cut in (0..500).step_by(7) {
        simulation.faults.push(Behaviour::ResetInEvent(2));
        simulation.faults.push(Behaviour::CloseAfterBytes(cut));
        let reply = simulation.send(&request(&format!("resumed-{cut}"), "/long/x")).await;
        let reply = reply.expect("the head of the first answer");
        let text = format!("{cut}: {}", reply.text());
        assert!(complete.starts_with(&reply.body), "{text}");
        assert!(!reply.is_complete || reply.body == complete, "{text}");
        simulation.faults.clear();
    }
}

/// Guards against a stream without a length that ends within an event and appears complete to its caller.
#[tokio::test]
async fn a_stream_without_a_length_is_complete_only_at_the_end_of_an_event() {
    let simulation = Simulation::start().await;
    let all = events();
    let ends: Vec<usize> = (1..=STREAM_EVENTS).map(|n| (1..=n).flat_map(event).count()).collect();
    for path in ["/long/x", "/short/x"] {
        for cut in (1..=all.len()).filter(|cut| ends.contains(cut) || cut % 5 == 0) {
            simulation.faults.push(Behaviour::StreamWithoutLength(cut));
            let id = format!("no-length-{cut}{path}");
            let reply = simulation.send(&request(&id, path)).await.expect("an answer");
            let text = format!("{path} at {cut}: {} {}", reply.head, reply.text());
            if ends.contains(&cut) {
                assert!(reply.is_complete, "{text}");
                assert_eq!(reply.body, all[..cut], "{text}");
            } else if path == "/long/x" {
                // The rest comes from another engine.
                assert!(reply.is_complete, "{text}");
                assert_eq!(reply.body, all, "{text}");
            } else {
                assert!(!reply.is_complete, "{text}");
                assert!(all.starts_with(&reply.body), "{text}");
            }
        }
    }
}

/// Guards against sound streams that are cut and resumed elsewhere since a VM that was paused takes its own pause for the
/// silence of the engines.
#[tokio::test]
async fn a_paused_vm_does_not_report_engines_as_unresponsive() {
    let simulation = Simulation::start().await;
    tokio::time::sleep(ms(500)).await;
    simulation.faults.push(Behaviour::DelayedEvents(ms(120)));
    let stream = async {
        let reply = simulation.send(&request("paused", "/long/x")).await.expect("an answer");
        assert!(reply.is_complete, "{}", reply.text());
    };
    let pause = async {
        tokio::time::sleep(ms(200)).await;
        // The whole process stands still, as after SIGSTOP.
        std::thread::sleep(ms(700));
    };
    tokio::join!(stream, pause);
    assert_eq!(simulation.run_count("paused"), 1);
}

/// Guards against a sound stream that is cut and resumed elsewhere on the word of a VM that alone has lost its path to the
/// engine, and against a request that stays at an engine that is silent.
#[tokio::test]
async fn a_report_of_another_vm_cuts_only_silent_answers() {
    let simulation = Simulation::start().await;
    let second = simulation.start_second().await;
    for (id, behaviour, runs) in
        [("sound", Behaviour::DelayedEvents(ms(150)), 1), ("silent", Behaviour::NoAnswer, 2)]
    {
        simulation.faults.push(behaviour);
        let sent = request(id, "/long/x");
        let stream = simulation.send(&sent);
        let report = async {
            tokio::time::sleep(ms(400)).await;
            let engine = |engine: &&Upstream| {
                engine.received().iter().any(|got| got.request.header("x-attempt-id") == Some(id))
            };
            let upstream = simulation.engines.iter().find(engine).expect("it runs");
            report_silence(&second, &upstream.id);
        };
        let (reply, ()) = tokio::join!(stream, report);
        let reply = reply.expect("an answer");
        assert!(reply.is_complete, "{id}: {}", reply.text());
        assert_eq!(reply.body, events(), "{id}");
        assert_eq!(simulation.run_count(id), runs, "{id}");
    }
}
