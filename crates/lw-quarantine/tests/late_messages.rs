//! Guards against crashes that are counted several times, since messages about them were received late.

use std::{collections::HashMap, time::Duration};

use lw_quarantine::{Action, Basis, CrashReport, Quarantine, Suspect};

/// A prompt that was in flight when three engines failed.
const PROMPT: [u64; 2] = [1, 2];
/// When a VM stops, and when it goes on.
const PAUSE: (u64, u64) = (4_000, 9_000);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Returns a VM that knows of three crashes with the prompt, one a second.
fn after_three_crashes(vm: &str) -> Quarantine {
    let mut quarantine = Quarantine::new(vm.into());
    for n in 1..=3 {
        let suspects = vec![Suspect { attempt_id: n, segments: PROMPT.to_vec() }];
        let report = CrashReport { upstream: format!("engine-{n}"), age: ms(0), suspects };
        quarantine.record_report(ms(n * 1_000), &"vm-x".into(), &report);
        quarantine.poll(ms(n * 1_000 + 500), &HashMap::default(), 9);
    }
    quarantine
}

/// Returns the reports that a VM sends until `end`, polled each 50 ms.
fn reports(vm: &mut Quarantine, from: u64, end: u64) -> Vec<CrashReport> {
    let times = (from..end).step_by(50);
    let actions = times.flat_map(|now| vm.poll(ms(now), &HashMap::default(), 9));
    let report = |action| match action {
        Action::Report(report) => Some(report),
        _ => None,
    };
    actions.filter_map(report).collect()
}

/// The socket keeps what arrives while a VM is stopped, and the age in a message is that at its sending.
#[test]
fn a_vm_that_was_paused_counts_each_crash_once() {
    let (mut running, mut paused) = (after_three_crashes("vm-1"), after_three_crashes("vm-2"));
    let (stop, wake) = PAUSE;
    for report in reports(&mut running, stop, wake) {
        paused.record_report(ms(wake), &"vm-1".into(), &report);
    }
    reports(&mut paused, wake, wake + 600);
    let time_left = paused.time_left(ms(wake + 600), &PROMPT);
    assert!(time_left.is_none(), "blamed for three crashes, {time_left:?} left");
}

/// What one VM blames, all others refuse.
#[test]
fn a_vm_that_was_paused_does_not_let_others_refuse_a_prompt_for_three_crashes() {
    let (mut running, mut paused) = (after_three_crashes("vm-1"), after_three_crashes("vm-2"));
    let (stop, wake) = (PAUSE.0, PAUSE.0 + 2_500);
    for report in reports(&mut running, stop, wake) {
        paused.record_report(ms(wake), &"vm-1".into(), &report);
    }
    for now in (wake..wake + 1_000).step_by(50) {
        for action in paused.poll(ms(now), &HashMap::default(), 9) {
            if let Action::Announce(set, basis) = action {
                running.record_announced(ms(now + 5), set, basis);
            }
        }
    }
    let time_left = running.time_left(ms(wake + 1_000), &PROMPT);
    assert!(time_left.is_none(), "refused for three crashes, {time_left:?} left");
}

/// A segment may have become deadly after a sound answer, which then seems to be younger than the crashes.
#[test]
fn a_vm_that_was_paused_does_not_let_others_serve_a_segment_with_sound_answers_before_the_crashes()
{
    let mut paused = Quarantine::new("vm-2".into());
    let wake = ms(PAUSE.1);
    paused.record_vouched(wake, &[(7, ms(100))]);
    paused.record_announced(wake, [7].into_iter().collect(), Basis { age: ms(2_000), crashes: 5 });
    let actions = paused.poll(wake, &HashMap::default(), 9);
    let is_vouched = actions.iter().any(|action| matches!(action, Action::Vouch(_)));
    assert!(!is_vouched && paused.time_left(wake, &[7]).is_some(), "{actions:?}");
}

/// VMs that repeat each other's sound answers could move them past the crashes.
#[test]
fn a_sound_answer_does_not_become_younger_when_vms_repeat_it() {
    let mut vms = [after_three_crashes("vm-1"), after_three_crashes("vm-2")];
    let answered = ms(500);
    for vm in &mut vms {
        vm.record_vouched(ms(3_600), &[(PROMPT[0], ms(3_100))]);
    }
    for now in (4_000..34_000).step_by(50) {
        for (from, to) in [(0, 1), (1, 0)] {
            for action in vms[from].poll(ms(now), &HashMap::default(), 9) {
                let Action::Vouch(segments) = action else { continue };
                for (segment, age) in &segments {
                    assert!(
                        ms(now).saturating_sub(*age) <= answered,
                        "{segment} at {now} ms: {age:?} ago"
                    );
                }
                vms[to].record_vouched(ms(now + 200), &segments);
            }
        }
    }
}
