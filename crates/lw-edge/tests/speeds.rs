//! Guards against messages with learned speeds that are larger than a datagram or that change what they carry.

use std::time::Duration;

use lw_edge::peers::{Message, Notice, SpeedsWire};
use lw_place::{Learned, LearnedCosts};

#[test]
fn learned_speeds_fit_into_datagrams() {
    let learned = Learned { ratio: 1.625, weight: 40.0, age: Duration::from_secs(70_000) };
    let id = |engine| format!("engine-of-a-long-name-{engine:04}");
    let speeds: Vec<_> = (0..90).map(|engine| (id(engine), learned)).collect();
    let costs = LearnedCosts { model: vec![learned; 6], speeds };
    let messages = SpeedsWire::split("a-service-of-a-long-name", &costs);
    let mut received = Vec::new();
    for speeds in messages {
        let notice = Notice::Speeds(speeds);
        let message = Message { vm: "vm-with-a-long-name-1".into(), notice, is_for_relay: false };
        let bytes = rmp_serde::to_vec(&message).unwrap();
        assert!(bytes.len() <= 1_200, "{} bytes", bytes.len());
        let decoded: Message = rmp_serde::from_slice(&bytes).unwrap();
        let Notice::Speeds(wire) = decoded.notice else { panic!("{decoded:?}") };
        let part = LearnedCosts::from(&wire);
        assert_eq!(part.model, costs.model);
        received.extend(part.speeds);
    }
    assert_eq!(received, costs.speeds);
}
