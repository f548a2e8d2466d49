//! Guards against copies of one request that reach engines again and again although the first ones crashed theirs.

mod fleet_sim;

use fleet_sim::{Copies, DEADLY, Fleet, Options, Outcome, config, ms};
use proptest::prelude::*;

/// Crashes by the request after which the VMs have to react.
const CRASHES: usize = 3;
/// Time that they have to react.
const REACTION_MS: u64 = 3_000;
/// Copies that may reach engines afterwards.
const LATE_ARRIVALS_MAX: usize = 3;
/// Cases of each property in an ordinary run. More run with the environment variable `PROPTEST_CASES`.
const CASES: u32 = 24;
/// Seed of the generated cases.
const SEED: u64 = 20_261_206;

fn run_and_check(options: &Options) -> Outcome {
    let outcome = Fleet::run(options.clone());
    let late = outcome.late_arrivals(CRASHES, ms(REACTION_MS));
    let crashes = &outcome.crashes;
    assert!(late <= LATE_ARRIVALS_MAX, "{late} late arrivals, crashes {crashes:?}, {options:?}");
    outcome
}

/// As [`run_and_check`], with the bound for each of two requests.
fn run_and_check_each(options: &Options) {
    let outcome = Fleet::run(options.clone());
    for segment in [DEADLY, DEADLY + 1] {
        let only = |times: &std::collections::BTreeMap<u64, Vec<_>>| {
            times.get(&segment).cloned().unwrap_or_default()
        };
        let crashes = only(&outcome.crashes);
        let Some(third) = crashes.get(CRASHES - 1) else { continue };
        let arrivals = &outcome.arrivals[&segment];
        let late = arrivals.iter().filter(|(at, _)| *at > *third + ms(REACTION_MS)).count();
        assert!(
            late <= LATE_ARRIVALS_MAX,
            "{late} late arrivals, crashes {crashes:?}, {options:?}"
        );
    }
}

/// One copy every few seconds, up to bursts.
fn copies() -> impl Strategy<Value = Copies> {
    let rates =
        prop_oneof![(5_u64..=400, Just(1)), (50_u64..=400, 2_usize..=10), (1_u64..=20, Just(1)),];
    (rates, any::<bool>()).prop_map(|((period, burst), has_middle)| Copies {
        prefix: if has_middle { vec![1, 2_000_000] } else { vec![1] },
        period: ms(period * 10),
        burst,
    })
}

fn fleets() -> impl Strategy<Value = Options> {
    let sizes = prop_oneof![Just((2, 12)), Just((9, 14)), Just((30, 40))];
    (any::<u64>(), sizes, copies(), 1_u32..=3, 0.0..0.2_f64, 5_u64..300).prop_map(
        |(seed, (vms, engines), copies, attempts, loss, delay)| Options {
            seed,
            vms,
            engines,
            deadly_segments: 0,
            copies: Some(copies),
            attempts,
            loss,
            delay_max: ms(delay),
            ..Options::default()
        },
    )
}

proptest! {
    #![proptest_config(config(CASES, SEED))]

    #[test]
    fn copies_of_a_request_that_crashed_three_engines_reach_no_more(options in fleets()) {
        run_and_check(&options);
    }

    #[test]
    fn copies_of_a_request_cause_no_blame_of_sound_ones(options in fleets()) {
        let outcome = run_and_check(&options);
        for set in outcome.quarantined.iter().flatten() {
            assert!(set.contains(DEADLY), "{set} is blamed, {options:?}");
        }
        let refused = outcome.sound_refused.len();
        assert!(refused * 200 <= outcome.sound_sent, "{refused} sound refused, {options:?}");
    }

    #[test]
    fn vms_that_restart_in_turn_know_of_the_crashes(
        options in fleets(), period in 100_u64..400,
    ) {
        let vms = options.vms.max(5);
        run_and_check(&Options { vms, restart_period: Some(ms(period * 10)), ..options });
    }

    /// Guards against copies that are no longer held, since another request that was in flight at the same crashes is blamed.
    #[test]
    fn copies_of_two_requests_at_once_reach_no_more_engines(options in fleets()) {
        run_and_check_each(&Options { has_twin_copies: true, ..options });
    }

    #[test]
    fn copies_reach_no_more_engines_while_the_turns_pass_to_vms_that_start(
        options in fleets(), period in 100_u64..400,
    ) {
        let vms = options.vms.max(5);
        let restart_period = Some(ms(period * 10));
        run_and_check(&Options { vms, restart_period, are_ranked_by_start: true, ..options });
    }

    #[test]
    fn copies_reach_no_more_engines_while_messages_are_slow(
        options in fleets(), delay in 500_u64..2_500,
    ) {
        run_and_check(&Options { delay_max: ms(delay), ..options });
    }

    #[test]
    fn copies_that_wait_at_their_engines_reach_no_more_engines(
        options in fleets(), wait in 1_000_u64..4_000,
    ) {
        run_and_check(&Options { wait_max: ms(wait), ..options });
    }

    #[test]
    fn copies_of_a_request_of_a_session_with_sound_answers_reach_no_more_engines(
        options in fleets(),
    ) {
        run_and_check(&Options { copies_once_sound: true, ..options });
    }

    #[test]
    fn copies_reach_no_more_engines_beside_crashes_for_other_reasons(
        options in fleets(), rate in 0.05..0.6_f64,
    ) {
        run_and_check(&Options { other_crash_rate: rate, ..options });
    }
}

/// Cases that once broke the bound.
fn earlier_failures() -> [Options; 5] {
    let copies = |prefix: &[u64], period: u64, burst| {
        Some(Copies { prefix: prefix.to_vec(), period: ms(period), burst })
    };
    let base = Options { vms: 2, engines: 12, deadly_segments: 0, ..Options::default() };
    [
        Options {
            seed: 17_649_167_201_694_770_669,
            copies: copies(&[1], 3_810, 1),
            loss: 0.165_693_277_690_474_26,
            delay_max: ms(85),
            ..base.clone()
        },
        Options {
            seed: 7_078_300_690_394_450_650,
            copies: copies(&[1], 3_200, 3),
            loss: 0.097_516_253_726_128_89,
            delay_max: ms(57),
            other_crash_rate: 0.330_142_272_082_108_1,
            ..base.clone()
        },
        Options {
            seed: 15_877_208_382_074_678_890,
            copies: copies(&[1], 3_410, 2),
            attempts: 1,
            loss: 0.147_054_094_284_741_56,
            delay_max: ms(142),
            other_crash_rate: 0.438_490_271_328_436_15,
            ..base.clone()
        },
        Options {
            seed: 4_821_327_591_248_350_961,
            vms: 1,
            copies: copies(&[1, 2_000_000], 3_810, 3),
            attempts: 1,
            loss: 0.131_315_734_067_004_8,
            delay_max: ms(292),
            has_fixed_first: false,
            other_crash_rate: 0.312_678_846_949_990_2,
            ..base.clone()
        },
        Options {
            seed: 6_790_478_673_513_974_298,
            vms: 5,
            copies: copies(&[1], 3_320, 3),
            attempts: 1,
            loss: 0.096_636_078_561_993_06,
            delay_max: ms(238),
            restart_period: Some(ms(1_180)),
            ..base
        },
    ]
}

#[test]
fn copies_of_earlier_failures_reach_no_more_engines() {
    for options in earlier_failures() {
        run_and_check(&options);
    }
}
