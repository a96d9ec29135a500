//! Arbitrary bytes from the network are decoded or rejected; decoding never panics, and what is
//! decoded encodes to an equal message.

use kelpwind::core::ids::Offset;
use kelpwind::core::record::Record;
use kelpwind::lease::message::{IncarnationId, Message, Seq};
use kelpwind::net::datagram::{DatagramError, decode, encode};
use proptest::prelude::*;

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2000,
        rng_seed: prop::test_runner::RngSeed::Fixed(6),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn any_datagram_is_decoded_or_rejected(raw in prop::collection::vec(any::<u8>(), 0..64)) {
        let _ = decode::<Message>(&raw);
        let with_format: Vec<u8> = std::iter::once(1).chain(raw).collect();
        if let Ok(message) = decode::<Message>(&with_format) {
            prop_assert_eq!(decode(&encode(&message)), Ok(message));
        }
    }

    #[test]
    fn any_record_is_decoded_or_rejected(text in "[\\{\\}\\[\\]\":,a-z0-9]{0,80}") {
        let _ = Record::try_from(text.as_bytes());
    }
}

#[test]
fn datagrams_are_small_and_begin_with_their_format() {
    let message = Message::Renew {
        holder: IncarnationId(u64::MAX),
        witness: IncarnationId(u64::MAX),
        seq: Seq(1 << 30),
        next: Offset(1 << 30),
    };
    let raw = encode(&message);
    assert!(raw.len() <= 32, "{} bytes", raw.len());
    assert_eq!(decode::<Message>(&raw), Ok(message));
    assert_eq!(decode::<Message>(&[]), Err(DatagramError::Empty));
    assert_eq!(decode::<Message>(&[9, 0]), Err(DatagramError::Format(9)));
}
