//! Encoding of messages, and an incarnation that decreases at a restart.

use lw_config::document::Document;
use lw_member::{
    Member, Message, Options,
    message::{Body, MemberInfo, MemberUpdate, VersionedPatch},
};

/// Guards against variants that decode as another one, because their encoded names have one letter only.
#[test]
fn encoded_messages_decode_unchanged() {
    let info = MemberInfo {
        id: "vm-1".into(),
        incarnation: 1_790_000_000,
        address: "10.0.0.1:7400".parse().expect("an address"),
        domain: "zone-1".into(),
    };
    let updates = vec![
        MemberUpdate::Alive(info.clone()),
        MemberUpdate::Leaving(info.clone()),
        MemberUpdate::Suspect("vm-2".into(), 7),
    ];
    let bodies = [
        Body::Heartbeat,
        Body::Gossip,
        Body::Introduce,
        Body::Probe,
        Body::ProbeFor("vm-3".into(), info.address),
        Body::Vouch("vm-3".into(), 4),
        Body::Sync(vec![1, u32::MAX]),
        Body::Members(vec![0, 31]),
        Body::Patches(vec![VersionedPatch { version: 9, patch: "{}".into() }]),
        Body::Fetch(8),
        Body::Whole(Document::empty().as_json().to_string()),
    ];
    for body in bodies {
        let (from, updates) = ("vm-1".to_owned(), updates.clone());
        let message = Message { from, incarnation: 1, version: 3, digest: 5, updates, body };
        let bytes = rmp_serde::to_vec(&message).expect("encodes");
        assert_eq!(rmp_serde::from_slice::<Message>(&bytes).expect("decodes"), message);
    }
}

/// Guards against a restarted VM that stays excluded because its clock is behind, which gives it a lower
/// incarnation than its previous process had.
#[test]
fn restarted_member_raises_a_lower_incarnation() {
    let member = |id: &str, port: u16, incarnation: u64| {
        let address = std::net::SocketAddr::from(([10, 0, 0, 1], port));
        Member::new(std::time::Duration::ZERO, Options::new(id, address, "zone-1", incarnation))
    };
    let second = std::time::Duration::from_secs;
    let (mut peer, mut previous) = (member("vm-1", 1, 1), member("vm-2", 2, 5));
    let (introduction, _) =
        previous.on_request(second(1), &peer.on_request(second(1), &probe("vm-9")).0);
    peer.on_request(second(1), &introduction);
    assert_eq!(peer.peer("vm-2").map(|p| p.incarnation), Some(5));
    let mut restarted = member("vm-2", 2, 3);
    let (introduction, _) = restarted.on_request(second(9), &probe("vm-9"));
    let (reply, _) = peer.on_request(second(9), &introduction);
    restarted.on_reply(second(9), &reply);
    assert!(restarted.local_peer().incarnation > 5, "{:?}", restarted.local_peer());
}

fn probe(from: &str) -> Message {
    let (from, updates) = (from.to_owned(), Vec::new());
    Message { from, incarnation: 1, version: 0, digest: 0, updates, body: Body::Probe }
}
