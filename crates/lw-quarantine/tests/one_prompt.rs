//! Guards against one prompt that crashes engine after engine, since its callers send it again and again.

use std::{collections::HashMap, time::Duration};

use lw_quarantine::{CrashReport, Quarantine, Suspect};

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

/// A prompt whose answers went on before may have met failing engines by chance more often.
#[test]
fn a_prompt_with_earlier_sound_answers_is_quarantined_later() {
    let mut quarantine = Quarantine::new("vm-0".into());
    quarantine.record_sound(Duration::from_millis(100), &DEADLY);
    for n in 1..=7 {
        let suspects = vec![Suspect { attempt_id: n, segments: DEADLY.to_vec() }];
        let upstream = format!("engine-{n}");
        let report = CrashReport { upstream, age: Duration::ZERO, suspects };
        quarantine.record_report(seconds(n), &format!("vm-{n}"), &report);
        quarantine.poll(seconds(n) + Duration::from_millis(900), &HashMap::default(), 0);
        assert!(quarantine.time_left(seconds(n + 1), &DEADLY).is_none(), "{n} crashes");
    }
}
