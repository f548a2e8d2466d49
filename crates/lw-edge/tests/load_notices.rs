//! Guards against notices about loads of weights that are lost or incomplete.

use std::{collections::BTreeSet, time::Duration};

use lw_edge::{orders::notices::LoadNotices, peers::Notice};

/// Guards against notices that do not fit into a datagram, and against engines that are left out.
#[test]
fn many_engines_are_named_in_several_notices() {
    let notices = LoadNotices::default();
    for n in 0..500 {
        notices.loading(&format!("engine-with-a-long-name-{n}"), "model", 7);
    }
    let taken = notices.take(Duration::from_secs(2));
    let mut named = BTreeSet::new();
    for notice in &taken {
        let bytes = rmp_serde::to_vec(notice).expect("the notice is encoded").len();
        assert!(bytes < 1_100, "{bytes} bytes");
        let Notice::Loading { upstreams, ms: 2_000, version: 7, .. } = notice else {
            panic!("{notice:?}")
        };
        named.extend(upstreams.iter().cloned());
    }
    assert_eq!(named.len(), 500);
    assert!(taken.len() < 20, "{} notices", taken.len());
    assert!(notices.take(Duration::from_secs(2)).is_empty());
}

/// Guards against VMs that wait for the end of a pause since one datagram was lost.
#[test]
fn engines_that_serve_a_version_are_named_twice() {
    let notices = LoadNotices::default();
    notices.loaded("engine-1", "model", 7);
    for _ in 0..2 {
        let upstreams = vec!["engine-1".to_owned()];
        let notice = Notice::Loaded { model: "model".to_owned(), version: 7, upstreams };
        assert_eq!(notices.take(Duration::from_secs(2)), [notice]);
    }
    assert!(notices.take(Duration::from_secs(2)).is_empty());
}
