//! Wire form of messages.

use lw_config::document::Document;
use lw_member::{
    Member, Message, Options,
    message::{Body, Card, News, PatchTo},
};

/// Guards against variants that cannot be told apart after encoding, as their names are shortened.
#[test]
fn every_message_survives_encoding() {
    let card = Card {
        id: "vm-1".into(),
        incarnation: 1_790_000_000,
        address: "10.0.0.1:7400".parse().expect("an address"),
        domain: "zone-1".into(),
    };
    let news = vec![
        News::Alive(card.clone()),
        News::Leaving(card.clone()),
        News::Suspect("vm-2".into(), 7),
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
        Body::Patches(vec![PatchTo { version: 9, patch: "{}".into() }]),
        Body::Fetch(8),
        Body::Whole(Document::empty().raw().to_string()),
    ];
    for body in bodies {
        let (from, news) = ("vm-1".to_owned(), news.clone());
        let message = Message { from, incarnation: 1, version: 3, digest: 5, news, body };
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
    let (hello, _) = former.receive(second(1), &peer.receive(second(1), &probe("vm-9")).0);
    peer.receive(second(1), &hello);
    assert_eq!(peer.peer("vm-2").map(|p| p.incarnation), Some(5));
    let mut next = member("vm-2", 2, 3);
    let (hello, _) = next.receive(second(9), &probe("vm-9"));
    let (reply, _) = peer.receive(second(9), &hello);
    next.reply(second(9), &reply);
    assert!(next.this().incarnation > 5, "{:?}", next.this());
}

fn probe(from: &str) -> Message {
    let (from, news) = (from.to_owned(), Vec::new());
    Message { from, incarnation: 1, version: 0, digest: 0, news, body: Body::Probe }
}
