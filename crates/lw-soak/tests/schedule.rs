//! Guards against schedules without stalls, or whose stalls meet no other change.

use std::time::Duration;

use lw_soak::schedule::{Event, Fault, Options, draw_events};

/// Events that begin from 1 s before another until its end.
fn around<'a>(events: &'a [Event], stall: &'a Event) -> impl Iterator<Item = &'a Event> {
    let from = stall.at.saturating_sub(Duration::from_secs(1));
    events.iter().filter(move |event| (from..=stall.at + stall.duration).contains(&event.at))
}

/// Guards against stalls that no VM notices, and against engines that never stand still together.
#[test]
fn one_some_and_all_engines_and_whole_machines_stand_still_beside_changes() {
    let options = Options::default();
    let (mut engines, mut machines) = (vec![0; options.engines + 1], 0);
    let (mut versions, mut reloads, mut drains) = (0, 0, 0);
    for seed in 0..50 {
        let events = draw_events(&Options { seed, ..options });
        for stall in &events {
            match &stall.fault {
                Fault::StallEngines(of) => engines[of.len()] += 1,
                Fault::StallMachine => machines += 1,
                _ => continue,
            }
            assert!((300..=3_000).contains(&stall.duration.as_millis()), "{seed}: {stall:?}");
            let count = |is: fn(&Fault) -> bool| {
                around(&events, stall).filter(|event| is(&event.fault)).count()
            };
            versions += count(|fault| matches!(fault, Fault::RewriteConfig));
            reloads += count(|fault| matches!(fault, Fault::ReloadSettings(_)));
            drains += count(|fault| matches!(fault, Fault::Drain(_)));
        }
    }
    assert_eq!(engines[0], 0);
    assert!(engines[1..].iter().all(|count| *count >= 10), "{engines:?}");
    for count in [machines, versions, reloads, drains] {
        assert!(count >= 50, "{machines} machines, {versions}, {reloads}, {drains}");
    }
}

/// Guards against upstreams that never leave, and workspaces that never become isolated, beside a cut of the watches.
#[test]
fn upstreams_leave_and_workspaces_become_isolated_beside_cut_watches() {
    let (mut gone, mut toggled) = (0, 0);
    for seed in 0..50 {
        let events = draw_events(&Options { seed, ..Options::default() });
        for change in &events {
            let is_beside_cut =
                around(&events, change).any(|event| matches!(event.fault, Fault::CutWatches));
            match change.fault {
                Fault::UpstreamGone(_) => gone += usize::from(is_beside_cut),
                Fault::ToggleIsolation => toggled += usize::from(is_beside_cut),
                _ => {}
            }
        }
    }
    assert!(gone >= 50 && toggled >= 50, "{gone} {toggled}");
}
