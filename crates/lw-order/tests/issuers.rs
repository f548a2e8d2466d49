//! Runs the issuers of a fleet of VMs under generated troubles that overlap, in virtual time. Guards against orders of two
//! VMs within the lease time, a lower fencing number after a higher one, VMs that act on a lease that has run out or is
//! another VM's, and roll-outs that do not end.

mod fleet;

use fleet::{Case, Kind, Target, Trouble, run, troubles};
use proptest::{prelude::*, test_runner::RngSeed};

/// Generated cases in CI; a longer run sets `PROPTEST_CASES`, and another start `ISSUERS_SEED`.
const CASES: u32 = 300;

fn number_from_env<T: std::str::FromStr>(name: &str) -> Option<T> {
    std::env::var(name).ok()?.parse().ok()
}

fn cases() -> impl Strategy<Value = Case> {
    let vms = prop_oneof![5 => Just(3_usize), 2 => 4_usize..=6, 1 => 7_usize..=9];
    (
        any::<u64>().no_shrink(),
        vms,
        2_usize..=4,
        any::<bool>(),
        200_u64..1_200,
        1_000_u64..4_000,
        troubles(),
    )
        .prop_map(|(seed, vms, engines, is_fenced, load_ms, version_period, troubles)| Case {
            seed,
            vms,
            engines,
            is_fenced,
            load_ms,
            version_period,
            troubles,
        })
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(number_from_env("ISSUERS_SEED").unwrap_or(29)),
        failure_persistence: None,
        ..ProptestConfig::with_cases(number_from_env("PROPTEST_CASES").unwrap_or(CASES))
    })]

    #[test]
    fn issuers_keep_the_rules_under_overlapping_troubles(case in cases()) {
        if let Err(violation) = run(&case) {
            return Err(TestCaseError::fail(violation.to_string()));
        }
    }
}

/// Guards against a model in which nothing happens: each version reaches each engine by one order.
#[test]
fn without_troubles_each_engine_gets_one_order_for_each_version() {
    for (seed, is_fenced) in (0..20).flat_map(|seed| [(seed, false), (seed, true)]) {
        let case = Case {
            seed,
            vms: 3,
            engines: 4,
            is_fenced,
            load_ms: 500,
            version_period: 4_000,
            troubles: Vec::new(),
        };
        let summary = run(&case).unwrap_or_else(|violation| panic!("seed {seed}: {violation}"));
        // Versions are named at 3, 7 and 11 s.
        assert_eq!(summary.orders, 12, "seed {seed}");
        assert!(summary.rolled_out_after < 3_000, "seed {seed}: {} ms", summary.rolled_out_after);
    }
}

/// Runs a case that failed once, and must not fail again.
fn check(case: &Case) {
    if let Err(violation) = run(case) {
        panic!("seed {}: {violation}", case.seed);
    }
}

fn trouble(kind: Kind, at: u64, duration: u64, target: Target) -> Trouble {
    Trouble { kind, at, duration, target }
}

/// Guards against an issuer that measures a cut or a pause as the time of a load, and then polls and orders that much later.
#[test]
fn a_cut_or_pause_does_not_count_as_a_long_load() {
    check(&Case {
        seed: 9_969_505_804_568_314_012,
        vms: 6,
        engines: 4,
        is_fenced: true,
        load_ms: 995,
        version_period: 2_489,
        troubles: vec![
            trouble(Kind::Cut, 5_152, 6_906, Target::Issuer),
            trouble(Kind::StoreRestored, 9_516, 2_892, Target::Issuer),
        ],
    });
    check(&Case {
        seed: 3_589_896_325_914_142_675,
        vms: 3,
        engines: 3,
        is_fenced: false,
        load_ms: 856,
        version_period: 2_254,
        troubles: vec![
            trouble(Kind::Cut, 12_755, 1_347, Target::Vm(4)),
            trouble(Kind::Cut, 3_108, 666, Target::Previous),
            trouble(Kind::Cut, 13_213, 4_064, Target::Vm(4)),
            trouble(Kind::Pause, 4_869, 5_442, Target::Issuer),
            trouble(Kind::StoreDownLeasesPause, 15_144, 303, Target::Issuer),
        ],
    });
    check(&Case {
        seed: 13_471_978_038_105_358_340,
        vms: 3,
        engines: 2,
        is_fenced: true,
        load_ms: 985,
        version_period: 3_431,
        troubles: vec![
            trouble(Kind::Pause, 8_573, 5_716, Target::Issuer),
            trouble(Kind::AnswersLate, 10_000, 5_689, Target::Issuer),
        ],
    });
}
