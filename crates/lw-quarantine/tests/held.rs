//! Guards against sound prompts that are held for long since engines crashed with them for other reasons.

mod fleet_sim;

use fleet_sim::{Fleet, Options, Unlucky, ms};

/// Longest time from the third crash to a sound answer.
const WAIT_MAX_MS: u64 = 3_000;

fn options(vms: usize, seed: u64) -> Options {
    Options {
        seed,
        vms,
        engines: 42,
        sound_rate: 30.0,
        deadly_segments: 0,
        unlucky: Some(Unlucky { from: ms(3_000), crashes: 3, return_time: ms(1_000) }),
        ..Options::default()
    }
}

/// A caller returns at any VM, and only few of many send a held prompt in turn.
#[test]
fn a_sound_prompt_that_its_caller_sends_again_soon_is_answered() {
    for vms in [3, 9, 30, 95] {
        for seed in 0..10 {
            let seen = Fleet::run(options(vms, seed)).unlucky;
            let last = *seen.crashes.get(2).expect("three crashes");
            let answered = seen.answered_at.is_some_and(|at| at <= last + ms(WAIT_MAX_MS));
            assert!(answered, "{vms} VMs, seed {seed}: {seen:?}");
        }
    }
}
