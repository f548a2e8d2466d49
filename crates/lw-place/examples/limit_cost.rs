//! Measures the time of one update of a VM's shares of the limits that upstreams name.
//!
//! `cargo run --release -p lw-place --example limit_cost`

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use lw_catalog::{Stage, Upstream};
use lw_limit::upstream::{Evidence, Origin};
use lw_place::{Fleet, LimitReport, UpstreamPool};

/// Updates that are measured.
const UPDATES: u32 = 100;
/// Time between two updates.
const PERIOD: Duration = Duration::from_millis(100);

fn main() {
    println!("VMs\tlimits\tus an update");
    for (vms, limits) in [(9, 5), (95, 14), (95, 42), (730, 100)] {
        let names: Vec<_> = (0..vms).map(|n| (format!("vm-{n}"), format!("d{}", n % 24))).collect();
        let vms: Vec<_> = names.iter().map(|(vm, domain)| (vm.as_str(), domain.as_str())).collect();
        let mut pool = UpstreamPool::new("d0".into());
        for n in 0..limits {
            pool.put(&upstream(n));
        }
        let fleet = Fleet { own: "vm-0", size: vms.len(), vms: &vms, is_stale: false };
        let mut time = Duration::ZERO;
        for update in 1..=UPDATES {
            let now = PERIOD * update;
            for n in 0..limits {
                let evidence = Evidence { limit: Some(3.8), sent_at: now, received_at: now };
                let upstream = format!("engine-{n}");
                let report = LimitReport { upstream, incarnation: 1, evidence };
                pool.observe_limit(now, &report, Origin::Own);
            }
            let started = Instant::now();
            let reports = pool.update_limits(now, &fleet);
            time += started.elapsed();
            assert!(reports.len() <= limits, "one report for each limit at most");
        }
        let us = (time / UPDATES).as_micros();
        println!("{}\t{limits}\t{us}", vms.len());
    }
}

fn upstream(n: usize) -> Arc<Upstream> {
    Arc::new(Upstream {
        id: format!("engine-{n}"),
        incarnation: 1,
        service: "s".into(),
        addr: "10.0.0.1:1".parse().expect("an address"),
        failure_domain: format!("d{}", n % 24),
        stage: Stage::Ready,
        slots: 8,
        software: "v1".into(),
        models: Vec::new(),
    })
}
