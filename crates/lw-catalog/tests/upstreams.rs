//! Guards against upstreams that are used again, or not any more, because the store returned from an older copy.

use std::time::Duration;

use lw_catalog::{Directory, Stage, Upstream, upstreams::Change};

const ID: &str = "engine-1";

fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn upstream(stage: Stage, incarnation: u64) -> Upstream {
    Upstream {
        id: ID.into(),
        incarnation,
        service: "llm".into(),
        addr: "127.0.0.1:1".parse().unwrap(),
        failure_domain: "a".into(),
        stage,
        slots: 8,
        software: "v1".into(),
        models: Vec::new(),
    }
}

/// Returns a directory after a read of an older copy that lists the upstream as ready.
fn restored(last: Option<Stage>, incarnation: u64) -> Directory {
    let mut directory = Directory::default();
    directory.put(at(1), ID, Some(upstream(Stage::Ready, 1)));
    match last {
        Some(stage) => directory.put(at(2), ID, Some(upstream(stage, 1))),
        None => directory.remove(at(2), ID),
    };
    let listed = vec![(ID.to_owned(), Some(upstream(Stage::Ready, incarnation)))];
    directory.replace_all(at(10), listed, true);
    directory
}

fn stage(directory: &Directory) -> Option<Stage> {
    directory.get(ID).map(|upstream| upstream.stage)
}

#[test]
fn a_leaving_upstream_is_still_leaving_until_it_registers_or_runs_anew() {
    let mut directory = restored(Some(Stage::Leaving), 1);
    assert_eq!(stage(&directory), Some(Stage::Leaving));
    directory.apply_due_changes(at(30));
    assert_eq!(stage(&directory), Some(Stage::Leaving));
    directory.put(at(31), ID, Some(upstream(Stage::Ready, 1)));
    assert_eq!(stage(&directory), Some(Stage::Ready));
    assert_eq!(stage(&restored(Some(Stage::Leaving), 2)), Some(Stage::Ready));
    assert_eq!(stage(&restored(Some(Stage::Ready), 1)), Some(Stage::Ready));
}

#[test]
fn an_upstream_that_was_gone_is_used_when_it_registers_or_is_listed_for_long() {
    let mut directory = restored(None, 1);
    assert_eq!(stage(&directory), None);
    directory.apply_due_changes(at(13));
    assert_eq!(stage(&directory), None);
    assert!(matches!(directory.apply_due_changes(at(15))[..], [Change::Present(_)]));
    let mut directory = restored(None, 1);
    directory.put(at(11), ID, Some(upstream(Stage::Ready, 1)));
    assert_eq!(stage(&directory), Some(Stage::Ready));
    assert_eq!(stage(&restored(None, 2)), Some(Stage::Ready));
}

#[test]
fn an_upstream_that_was_gone_and_is_removed_again_stays_gone() {
    let mut directory = restored(None, 1);
    directory.remove(at(12), ID);
    directory.apply_due_changes(at(30));
    assert_eq!(stage(&directory), None);
}

/// Guards against an upstream that gets no requests, or gets them for too long, since another writer has spoilt its entry.
#[test]
fn an_upstream_with_a_spoilt_entry_stays_until_its_next_entry_is_overdue() {
    let half = Duration::from_millis(500);
    let mut directory = Directory::default();
    directory.put(at(1), ID, Some(upstream(Stage::Ready, 1)));
    assert_eq!(directory.put(at(2), ID, None), []);
    // A further spoilt entry does not extend the time.
    assert_eq!(directory.put(at(3), ID, None), []);
    assert_eq!(directory.apply_due_changes(at(3) + half), []);
    assert_eq!(stage(&directory), Some(Stage::Ready));
    assert_eq!(directory.apply_due_changes(at(4)), [Change::Gone(ID.to_owned())]);
    directory.put(at(5), ID, Some(upstream(Stage::Ready, 1)));
    directory.put(at(6), ID, None);
    directory.put(at(7), ID, Some(upstream(Stage::Ready, 1)));
    assert_eq!(directory.apply_due_changes(at(30)), []);
    directory.put(at(31), ID, None);
    assert_eq!(directory.remove(at(32), ID), [Change::Gone(ID.to_owned())], "its removal counts");
    directory.put(at(33), ID, Some(upstream(Stage::Leaving, 1)));
    assert_eq!(directory.put(at(34), ID, None), [Change::Gone(ID.to_owned())], "it is leaving");
}
