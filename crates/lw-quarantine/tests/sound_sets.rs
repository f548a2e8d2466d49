//! Guards against sets of segments that are refused although a VM knows a sound answer on all of them.

use std::time::Duration;

use lw_quarantine::{Action, Basis, Quarantine};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Returns whether a VM refuses a prompt when another one announces that it is quarantined, although an answer on it was sound
/// after the first crash, and whether it vouches for it.
fn after_announcement(prompt: &[u64]) -> (bool, bool) {
    let mut quarantine = Quarantine::new("vm-1".into());
    quarantine.record_sound(ms(5_200), prompt);
    let basis = Basis { age: ms(4_000), crashes: 5 };
    quarantine.record_announced(ms(5_400), prompt.iter().copied().collect(), basis);
    let actions = quarantine.poll(ms(5_500), &std::collections::HashMap::default(), 0);
    let is_vouched = actions.iter().any(|action| matches!(action, Action::Vouch(_)));
    (quarantine.time_left(ms(5_500), prompt).is_some(), is_vouched)
}

#[test]
fn a_segment_with_a_sound_answer_since_the_first_crash_is_not_refused() {
    assert_eq!(after_announcement(&[7]), (false, true));
}

#[test]
fn a_set_of_segments_with_a_sound_answer_since_the_first_crash_is_not_refused() {
    assert_eq!(after_announcement(&[7, 8]), (false, true));
}

#[test]
fn a_set_of_segments_with_sound_answers_at_another_vm_is_released() {
    let mut quarantine = Quarantine::new("vm-1".into());
    let set = [7, 8].into_iter().collect();
    quarantine.record_announced(ms(5_400), set, Basis { age: ms(4_000), crashes: 5 });
    quarantine.record_vouched(ms(5_500), &[(7, ms(300))]);
    assert!(quarantine.time_left(ms(5_500), &[7, 8]).is_some(), "only one of them is sound");
    quarantine.record_vouched(ms(5_500), &[(8, ms(300))]);
    assert!(quarantine.time_left(ms(5_500), &[7, 8]).is_none());
}
