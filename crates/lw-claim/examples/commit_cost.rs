//! Prints the processor time of one commit (expire, claim, encode) for buckets of different sizes.

use std::time::{Duration, Instant};

use lw_claim::{
    message::AttemptId,
    options::Options,
    record::{BodyDigest, ClaimKey, Outcome, Value},
};

const ROUNDS: u32 = 20;

fn main() {
    let options = Options::default();
    let unix = Duration::from_secs(1_000_000);
    let digest = BodyDigest::new("POST", "/book", b"{}");
    for records in [100, 1_000, 3_000, 9_000_u64] {
        let mut value = Value::default();
        let claim_and_record = |value: &mut Value, seq| {
            let attempt = AttemptId { vm: "vm1".into(), incarnation: 1, seq };
            let key = ClaimKey::new("station", "desk", &seq.to_string());
            value.claim(key, digest, &attempt, unix, &options);
            value.record(
                key,
                &attempt,
                &Outcome::Done { status: 201, body: vec![] },
                unix,
                &options,
            );
        };
        (0..records).for_each(|seq| claim_and_record(&mut value, seq));
        let start = Instant::now();
        let mut bytes = 0;
        for round in 0..ROUNDS {
            let mut next = value.clone();
            next.expire(unix, &options);
            claim_and_record(&mut next, records + u64::from(round));
            bytes = next.encode().len();
        }
        println!("{records} records, {bytes} bytes: {:?} per commit", start.elapsed() / ROUNDS);
    }
}
