//! Wire form of messages.

use lw_config::document::Document;
use lw_member::{
    Member, Message, Options,
    message::{Body, MemberInfo, MemberUpdate, VersionedPatch},
};

/// Guards against variants that cannot be told apart after encoding, as their names are shortened.
#[test]
fn every_message_survives_encoding() {
    let card = MemberInfo {
        id: "vm-1".into(),
        incarnation: 1_790_000_000,
        address: "10.0.0.1:7400".parse().expect("an address"),
        domain: "zone-1".into(),
    };
    let updates = vec![
        MemberUpdate::Alive(card.clone()),
        MemberUpdate::Leaving(card.clone()),
        MemberUpdate::Suspect("vm-2".into(), 7),
    ];
    let bodies = [
        Body::Heartbeat,
        Body::Gossip,
        Body::Introduce,
        Body::Probe,
        Body::ProbeFor("vm-3".into(), card.address),
        Body::Vouch("vm-3".into(), 4),
        Body::Sync(vec![1, u32::MAX]),
        Body::Members(vec![0, 31]),
        Body::Patches(vec![VersionedPatch { version: 9, patch: "{}".into() }]),
        Body::Fetch(8),
        Body::Whole(Document::empty().raw().to_string()),
    ];
    for body in bodies {
        let (from, updates) = ("vm-1".to_owned(), updates.clone());
        let message = Message { from, incarnation: 1, version: 3, digest: 5, updates, body };
        let bytes = rmp_serde::to_vec(&message).expect("encodes");
        assert_eq!(rmp_serde::from_slice::<Message>(&bytes).expect("decodes"), message);
    }
}

/// Guards against a replaced VM whose clock is behind, so that its incarnation is lower than the known one,
/// and which would stay excluded.
#[test]
fn lower_incarnation_after_a_restart_is_raised() {
    let member = |id: &str, port: u16, incarnation: u64| {
        let address = std::net::SocketAddr::from(([10, 0, 0, 1], port));
        Member::new(std::time::Duration::ZERO, Options::new(id, address, "zone-1", incarnation))
    };
    let second = std::time::Duration::from_secs;
    let (mut peer, mut former) = (member("vm-1", 1, 1), member("vm-2", 2, 5));
    let (hello, _) = former.on_request(second(1), &peer.on_request(second(1), &probe("vm-9")).0);
    peer.on_request(second(1), &hello);
    assert_eq!(peer.peer("vm-2").map(|p| p.incarnation), Some(5));
    let mut next = member("vm-2", 2, 3);
    let (hello, _) = next.on_request(second(9), &probe("vm-9"));
    let (reply, _) = peer.on_request(second(9), &hello);
    next.on_reply(second(9), &reply);
    assert!(next.local_peer().incarnation > 5, "{:?}", next.local_peer());
}

fn probe(from: &str) -> Message {
    let (from, updates) = (from.to_owned(), Vec::new());
    Message { from, incarnation: 1, version: 0, digest: 0, updates, body: Body::Probe }
}
