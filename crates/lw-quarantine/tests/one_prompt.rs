//! Guards against one prompt that crashes engine after engine, since its callers send it again and again.

use std::{collections::HashMap, time::Duration};

use lw_quarantine::{Action, CrashReport, Quarantine, Suspect};

/// The prompt that crashes engines.
const DEADLY: [u64; 2] = [1, 2];

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Returns a quarantine after this many crashes, one a second at an engine each, with the deadly prompt and a sound one that
/// differs each time in flight.
fn after_crashes(crashes: u64) -> (Quarantine, Duration) {
    let mut quarantine = Quarantine::new("vm-0".into());
    for n in 1..=crashes {
        let suspects = vec![
            Suspect { attempt_id: 2 * n, segments: DEADLY.to_vec() },
            Suspect { attempt_id: 2 * n + 1, segments: vec![3, 100 + n] },
        ];
        let upstream = format!("engine-{n}");
        let report = CrashReport { upstream, age: Duration::ZERO, suspects };
        quarantine.record_report(seconds(n), &format!("vm-{n}"), &report);
        // Other requests show that the shared segment is sound.
        quarantine.record_sound(seconds(n) + Duration::from_millis(100), &[3, 200 + n]);
        quarantine.poll(seconds(n) + Duration::from_millis(900), &HashMap::default(), 0);
    }
    (quarantine, seconds(crashes + 1))
}

#[test]
fn a_prompt_that_was_at_five_crashes_is_quarantined() {
    let (quarantine, now) = after_crashes(5);
    assert!(quarantine.time_left(now, &DEADLY).is_some());
    for sound in [[1, 4], [3, 2], [3, 101]] {
        assert!(quarantine.time_left(now, &sound).is_none(), "{sound:?}");
    }
}

/// One request has two attempts, and its caller sends it once more: a sound prompt can be at four crashes by chance.
#[test]
fn a_prompt_that_one_caller_took_to_four_failing_engines_is_not_quarantined() {
    let (quarantine, now) = after_crashes(4);
    assert!(quarantine.time_left(now, &DEADLY).is_none());
}

/// Copies that are sent together crash their engines together, which counts as one cause for other prompts.
#[test]
fn a_prompt_whose_copies_crashed_engines_at_the_same_moment_is_quarantined() {
    let mut quarantine = Quarantine::new("vm-0".into());
    for (n, at) in [(1, 1_000), (2, 1_010), (3, 1_020), (4, 3_000), (5, 5_000)] {
        let now = Duration::from_millis(at);
        assert!(quarantine.time_left(now, &DEADLY).is_none(), "{n} crashes");
        let suspects = vec![Suspect { attempt_id: n, segments: DEADLY.to_vec() }];
        let report = CrashReport { upstream: format!("engine-{n}"), age: Duration::ZERO, suspects };
        quarantine.record_report(now, &format!("vm-{n}"), &report);
        quarantine.poll(now + Duration::from_millis(900), &HashMap::default(), 0);
    }
    assert!(quarantine.time_left(seconds(6), &DEADLY).is_some());
}

/// A prompt that failing engines met by chance has to get a chance to show that it is sound, and one answer has to suffice.
#[test]
fn a_sound_prompt_that_is_held_is_served_again_after_one_answer() {
    let (mut first, now) = after_crashes(4);
    let (mut other, _) = after_crashes(4);
    other.poll(now, &HashMap::default(), 7);
    assert!(other.try_begin(now, &DEADLY).is_err());
    assert!(first.try_begin(now, &DEADLY).is_ok(), "no VM sends the prompt");
    let answered = now + Duration::from_millis(400);
    first.record_sound(answered, &DEADLY);
    for action in first.poll(answered, &HashMap::default(), 0) {
        if let Action::Vouch(segments) = action {
            other.record_vouched(answered, &segments);
        }
    }
    for quarantine in [&mut first, &mut other] {
        for _ in 0..10 {
            assert!(quarantine.try_begin(answered, &DEADLY).is_ok());
        }
    }
}

/// The first VM in turn may be cut off.
#[test]
fn a_sound_prompt_that_is_held_is_sent_by_a_second_vm() {
    let (mut quarantine, now) = after_crashes(4);
    quarantine.poll(now, &HashMap::default(), 1);
    let tries = (0..4).map(|n| quarantine.try_begin(now + seconds(n), &DEADLY));
    assert!(tries.into_iter().any(|tried| tried.is_ok()));
}

/// A burst would crash one engine for each copy.
#[test]
fn copies_of_a_held_prompt_are_sent_one_at_a_time() {
    let (mut quarantine, now) = after_crashes(3);
    let begun = (0..10).filter(|_| quarantine.try_begin(now, &DEADLY).is_ok()).count();
    assert_eq!(begun, 1);
    assert!(quarantine.try_begin(now, &[3, 101]).is_ok(), "it shares no crash but one");
}

/// Each VM may send a copy soon after the third crash, and a burst at it must not crash several engines.
#[test]
fn a_vm_that_is_not_in_turn_sends_one_copy_soon_after_the_third_crash() {
    let (mut quarantine, now) = after_crashes(3);
    quarantine.poll(now, &HashMap::default(), 7);
    let mut count = |at| (0..10).filter(|_| quarantine.try_begin(at, &DEADLY).is_ok()).count();
    assert_eq!(count(now), 1);
    assert_eq!(count(now + seconds(2)), 0);
}

/// A VM that restarted, or missed a message, would send each copy.
#[test]
fn a_vm_without_evidence_learns_which_prompts_are_held() {
    let (mut quarantine, now) = after_crashes(4);
    let mut new = Quarantine::new("vm-new".into());
    let later = now + seconds(2);
    for action in quarantine.poll(later, &HashMap::default(), 0) {
        match action {
            Action::Report(report) => new.record_report(later, &"vm-0".into(), &report),
            Action::Vouch(segments) => new.record_vouched(later, &segments),
            _ => {}
        }
    }
    new.poll(later + seconds(1), &HashMap::default(), 7);
    assert!(new.try_begin(later + seconds(1), &DEADLY).is_err());
}

/// VMs that repeat each other's reports could hold a prompt for ever.
#[test]
fn a_prompt_is_not_held_any_more_when_its_crashes_are_old() {
    let mut vms = [after_crashes(4).0, after_crashes(4).0];
    for now in (6..700).map(seconds) {
        // They drop old evidence at different times.
        let senders = if now < seconds(17) { &[(0, 1)][..] } else { &[(0, 1), (1, 0)] };
        for (from, to) in senders.iter().copied() {
            for action in vms[from].poll(now, &HashMap::default(), 0) {
                if let Action::Report(report) = action {
                    let delay = Duration::from_millis(200);
                    vms[to].record_report(now + delay, &format!("vm-{from}"), &report);
                }
            }
        }
    }
    for vm in &mut vms {
        assert!((0..10).all(|_| vm.try_begin(seconds(700), &DEADLY).is_ok()));
    }
}

/// Returns a quarantine after this many crashes with the deadly prompt, one a second, on which answers are sound at these times.
fn after_crashes_and_answers(crashes: u64, sound_ms: &[u64]) -> Quarantine {
    let mut quarantine = Quarantine::new("vm-0".into());
    for n in 0..=crashes {
        if n > 0 {
            let suspects = vec![Suspect { attempt_id: n, segments: DEADLY.to_vec() }];
            let upstream = format!("engine-{n}");
            let report = CrashReport { upstream, age: Duration::ZERO, suspects };
            quarantine.record_report(seconds(n), &format!("vm-{n}"), &report);
        }
        for sound in sound_ms.iter().filter(|at| **at / 1_000 == n) {
            quarantine.record_sound(Duration::from_millis(*sound), &DEADLY);
        }
        quarantine.poll(seconds(n) + Duration::from_millis(900), &HashMap::default(), 0);
    }
    quarantine
}

/// The last segment of a prompt may belong to a session, so that earlier answers on all segments say little of a request.
#[test]
fn a_prompt_with_earlier_sound_answers_is_held_after_three_crashes() {
    for crashes in [3, 4] {
        let mut quarantine = after_crashes_and_answers(crashes, &[100]);
        let now = seconds(crashes + 1);
        assert!(quarantine.time_left(now, &DEADLY).is_none(), "{crashes} crashes");
        let begun = (0..10).filter(|_| quarantine.try_begin(now, &DEADLY).is_ok()).count();
        assert_eq!(begun, 1, "{crashes} crashes");
    }
}

#[test]
fn a_prompt_with_earlier_sound_answers_is_quarantined_after_five_crashes() {
    let quarantine = after_crashes_and_answers(5, &[100]);
    assert!(quarantine.time_left(seconds(6), &DEADLY).is_some());
}

/// A prompt whose answers go on may meet failing engines by chance again and again.
#[test]
fn a_prompt_with_sound_answers_between_its_crashes_is_neither_held_nor_quarantined() {
    for crashes in 1..=10 {
        let mut quarantine = after_crashes_and_answers(crashes, &[100, 2_500, 4_500, 6_500, 8_500]);
        let now = seconds(crashes + 1);
        assert!(quarantine.time_left(now, &DEADLY).is_none(), "{crashes} crashes");
        assert!((0..10).all(|_| quarantine.try_begin(now, &DEADLY).is_ok()), "{crashes} crashes");
    }
}
