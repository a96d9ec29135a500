//! Large answers on a narrow link, replayed without a network.

use std::time::{Duration, Instant};

use kelpwind::core::ids::ByteRate;
use kelpwind::gate::bulk::{self, BulkAnswers};
use kelpwind::net::pacing::Pacer;

/// 10 Mbit/s.
const LINK: ByteRate = ByteRate(1_250_000);
const CHUNK: usize = 16 << 10;
const MS: Duration = Duration::from_millis(1);

/// Large answers on many connections filled the queue of the link, and small ones waited behind them for
/// seconds.
#[test]
fn large_messages_of_many_connections_fill_the_link() {
    let (pacer, start) = (Pacer::default(), Instant::now());
    pacer.set_rate(Some(LINK));
    // Forty connections have an answer of six chunks each; whoever's turn it is reserves the next one.
    let turns: Vec<Instant> = (0..240).map(|_| pacer.reserve(CHUNK, start)).collect();
    for (i, turn) in turns.iter().enumerate() {
        let sent = (i * CHUNK) as f64 / (turn.duration_since(start).as_secs_f64() + 1e-9);
        assert!(i == 0 || sent <= LINK.0 as f64, "chunk {i}: {sent} bytes a second");
    }
    let all = turns.last().unwrap().duration_since(start);
    assert!(all < Duration::from_millis(3600), "the link is used: {all:?}");
}

/// Small messages are not paced, but what they use is taken from the large ones.
#[test]
fn small_messages_take_from_the_share_of_large_ones() {
    let (pacer, now) = (Pacer::default(), Instant::now());
    pacer.record_sent(1 << 20, now);
    assert_eq!(pacer.time_to_send(CHUNK, 0, now), Duration::ZERO, "nothing is paced yet");
    pacer.set_rate(Some(LINK));
    pacer.record_sent(125_000, now);
    let wait = pacer.reserve(CHUNK, now).duration_since(now);
    assert!((100 * MS..120 * MS).contains(&wait), "{wait:?}");
}

/// Downloads of a burst ran at once since the server had free slots, and their answers waited for the link
/// until the callers had given up.
#[test]
fn a_burst_of_downloads_is_admitted_beyond_the_link() {
    let (pacer, start) = (Pacer::default(), Instant::now());
    pacer.set_rate(Some(LINK));
    let mut answers = BulkAnswers::default();
    answers.begin();
    answers.end(Some(90_000));
    let deadline = Duration::from_secs(6);
    let mut admitted = 0;
    for _ in 0..200 {
        let sent_in = pacer.time_to_send(answers.mean_bytes(), answers.expected_bytes(), start);
        match bulk::retry_after(sent_in, deadline) {
            None => {
                answers.begin();
                admitted += 1;
            }
            Some(delay) => assert!(delay <= deadline, "{delay:?}"),
        }
    }
    let bytes = f64::from(admitted) * 90_000.0;
    assert!(bytes / LINK.0 as f64 <= deadline.as_secs_f64(), "{admitted} answers arrive in time");
    assert!(admitted >= 40, "{admitted}: the link is used");
}
