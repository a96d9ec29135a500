//! The replicated state machine: records in any order, duplicates and malformed records lead every
//! reader to the same state, and tokens only increase.

use bytes::Bytes;
use kelpwind::core::codes::Code;
use kelpwind::core::config::Config;
use kelpwind::core::config::change::Change;
use kelpwind::core::ids::{Count, Holder, Incarnation, Offset, Revision, SliceId, Token, Version};
use kelpwind::core::record::{Body, Member, Move, Peer, Record};
use kelpwind::core::state::State;
use kelpwind::log::replica::Replica;
use kelpwind::log::snapshot::{SnapshotAssembler, split};
use proptest::prelude::*;

const SLICES: u32 = 4;

fn holder(n: u64) -> Holder {
    Holder { node: format!("n{}", n % 4).parse().unwrap(), inc: Incarnation(n) }
}

fn member(n: u64) -> Member {
    Member {
        holder: holder(n),
        peer: ([127, 0, 0, 1], 1).into(),
        admin: ([127, 0, 0, 1], 2).into(),
        domain: "rdam-a".parse().unwrap(),
        service: Some("historie".parse().unwrap()),
        slots: Count(12),
        conns: Count(130),
        fenced: true,
        draining: false,
        witnesses: vec![Peer { holder: holder(n), addr: ([127, 0, 0, 1], 1).into() }],
    }
}

fn config() -> Config {
    let text = std::fs::read_to_string(crate::support::data_path("keteltoezicht.toml")).unwrap();
    let text = text.replace("slices = 12", &format!("slices = {SLICES}"));
    Config::try_from(text.as_str()).unwrap()
}

fn config_record(base: u64) -> Record {
    let change = Change::between(&Config::default(), &config());
    Record::new("test", Body::Config { base: Revision(base), change })
}

fn arbitrary_move() -> impl Strategy<Value = Move> {
    (0..SLICES + 1, 0u64..30, 0u64..8).prop_map(|(slice, prev, to)| Move {
        range: "ketels".parse().unwrap(),
        slice: SliceId(slice),
        prev: Token(prev),
        to: holder(to),
    })
}

fn arbitrary_body() -> impl Strategy<Value = Body> {
    let moves = || prop::collection::vec(arbitrary_move(), 1..6);
    let any_holder = || (0u64..8).prop_map(holder);
    prop_oneof![
        3 => (0u64..8).prop_map(|n| Body::Join(member(n))),
        1 => (0u64..8).prop_map(|n| Body::Update(member(n))),
        1 => any_holder().prop_map(|holder| Body::Leave { holder }),
        2 => (any_holder(), 0u64..30).prop_map(|(holder, v)| {
            let set = vec![Peer { holder: holder.clone(), addr: ([127, 0, 0, 1], 1).into() }];
            Body::Witnesses { holder, base: Version(v), set }
        }),
        2 => (any_holder(), 0u64..30, moves())
            .prop_map(|(holder, v, moves)| Body::Revoke { holder, base: Version(v), moves }),
        4 => moves().prop_map(|moves| Body::Assign { moves }),
        4 => (any_holder(), moves()).prop_map(|(from, moves)| Body::Handover { from, moves }),
        1 => any_holder().prop_map(|from| Body::Release { from, range: "ketels".parse().unwrap() }),
    ]
}

/// A log that begins with a configuration; some records are followed by a copy of an earlier one.
fn arbitrary_log() -> impl Strategy<Value = Vec<Bytes>> {
    let drawn = prop::collection::vec(
        (arbitrary_body(), any::<prop::sample::Index>(), any::<bool>()),
        1..60,
    );
    drawn.prop_map(|drawn| {
        let mut all = vec![config_record(0).encode()];
        for (body, index, repeat) in drawn {
            all.push(Record::new("test", body).encode());
            if repeat {
                all.push(index.get(&all).clone());
            }
        }
        all
    })
}

fn apply_all(state: &mut State, records: &[Bytes], from: u64) {
    for (i, raw) in records.iter().enumerate() {
        let _ = state.apply(Offset(from + i as u64), raw);
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        rng_seed: prop::test_runner::RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn tokens_increase_and_owners_are_members(records in arbitrary_log()) {
        let mut state = State::default();
        let mut tokens = [0; SLICES as usize];
        for (i, raw) in records.iter().enumerate() {
            let before = state.clone();
            let result = state.apply(Offset(i as u64), raw);
            for (slice, last) in tokens.iter_mut().enumerate() {
                let current = state.slice(&"ketels".parse().unwrap(), SliceId(slice as u32)).unwrap();
                prop_assert!(current.token.0 >= *last);
                prop_assert!(current.token.0 <= i as u64);
                *last = current.token.0;
                let known = current.holder.as_ref().is_none_or(|h| state.members.contains_key(h));
                prop_assert!(known, "owner is not a member: {current:?}");
            }
            if result.is_err() {
                let same = State { next: state.next, digest: state.digest, ..before };
                prop_assert_eq!(&same, &state, "an ignored record changed the state");
            }
        }
    }

    #[test]
    fn a_duplicate_right_after_the_record_has_no_effect(records in arbitrary_log()) {
        let mut state = State::default();
        for (i, raw) in records.iter().enumerate() {
            let _ = state.apply(Offset(2 * i as u64), raw);
            let before = state.clone();
            let _ = state.apply(Offset(2 * i as u64 + 1), raw);
            let same = State { next: state.next, digest: state.digest, ..before };
            prop_assert_eq!(&same, &state);
        }
    }

    #[test]
    fn a_snapshot_with_the_records_after_it_gives_the_same_state(
        records in arbitrary_log(),
        cut in any::<prop::sample::Index>(),
    ) {
        let cut = cut.index(records.len());
        let mut full = State::default();
        apply_all(&mut full, &records, 0);
        let mut prefix = State::default();
        apply_all(&mut prefix, &records[..cut], 0);
        let mut joiner = SnapshotAssembler::default();
        split(&prefix, "test").iter().for_each(|r| joiner.add(&r.encode()));
        let mut restored = joiner.newest().unwrap();
        apply_all(&mut restored, &records[cut..], cut as u64);
        prop_assert_eq!(restored, full);
    }

    #[test]
    fn malformed_records_are_ignored(raw in prop::collection::vec(any::<u8>(), 0..200)) {
        let mut state = State::default();
        prop_assert_eq!(state.apply(Offset(0), &raw), Err(Code::BadRecord));
        prop_assert_eq!(state.next, Offset(1));
    }
}

fn three_members() -> State {
    let mut state = State::default();
    let mut records = vec![config_record(0)];
    records.extend((0..3).map(|n| Record::new("test", Body::Join(member(n)))));
    let raw: Vec<Bytes> = records.iter().map(Record::encode).collect();
    apply_all(&mut state, &raw, 0);
    state
}

fn slice_move(slice: u32, prev: u64, to: u64) -> Move {
    let range = "ketels".parse().unwrap();
    Move { range, slice: SliceId(slice), prev: Token(prev), to: holder(to) }
}

fn apply(state: &mut State, body: Body) -> std::result::Result<(), Code> {
    state.apply(state.next, &Record::new("test", body).encode())
}

#[test]
fn the_first_of_two_assignments_of_a_free_slice_wins() {
    let mut state = three_members();
    assert_eq!(apply(&mut state, Body::Assign { moves: vec![slice_move(0, 0, 1)] }), Ok(()));
    let second = apply(&mut state, Body::Assign { moves: vec![slice_move(0, 0, 2)] });
    assert_eq!(second, Err(Code::StaleToken));
}

#[test]
fn a_handover_needs_the_owner_and_its_token() {
    let mut state = three_members();
    apply(&mut state, Body::Assign { moves: vec![slice_move(0, 0, 1)] }).unwrap();
    let handover =
        |from, prev| Body::Handover { from: holder(from), moves: vec![slice_move(0, prev, 2)] };
    assert_eq!(apply(&mut state, handover(0, 4)), Err(Code::StaleToken));
    assert_eq!(apply(&mut state, handover(1, 3)), Err(Code::StaleToken));
    assert_eq!(apply(&mut state, handover(1, 4)), Ok(()));
}

#[test]
fn a_takeover_with_an_outdated_witness_set_is_ignored() {
    let mut state = three_members();
    let set = member(1).witnesses;
    let change = Body::Witnesses { holder: holder(1), base: Version(2), set };
    assert_eq!(apply(&mut state, change), Ok(()));
    let revoke = |v| Body::Revoke { holder: holder(1), base: Version(v), moves: Vec::new() };
    assert_eq!(apply(&mut state, revoke(2)), Err(Code::StaleVersion));
    assert_eq!(apply(&mut state, revoke(4)), Ok(()));
}

/// A key would have two owners if a dropped range could be added under another name while slices of
/// the dropped one still have owners.
#[test]
fn a_dropped_range_blocks_its_keys_until_its_slices_are_released() {
    let mut state = three_members();
    apply(&mut state, Body::Assign { moves: vec![slice_move(0, 0, 1)] }).unwrap();
    let mut renamed = config();
    let range = renamed.key_range.remove("ketels").unwrap();
    renamed.key_range.insert("vaten".parse().unwrap(), range);
    let record = |state: &State, to: &Config| {
        let change = Change::between(&state.config, to);
        Body::Config { base: state.revision, change }
    };
    let body = record(&state, &renamed);
    assert_eq!(apply(&mut state, body), Err(Code::Immutable));
    let mut dropped = renamed.clone();
    dropped.key_range.clear();
    let body = record(&state, &dropped);
    apply(&mut state, body).unwrap();
    let body = record(&state, &renamed);
    assert_eq!(apply(&mut state, body), Err(Code::Immutable));
    let range = "ketels".parse().unwrap();
    apply(&mut state, Body::Release { from: holder(1), range }).unwrap();
    let body = record(&state, &renamed);
    assert_eq!(apply(&mut state, body), Ok(()));
}

#[test]
fn incomplete_and_altered_snapshots_are_ignored() {
    let mut state = three_members();
    state.history.clear();
    for _ in 0..6000 {
        state.history.push_back(kelpwind::core::state::Published {
            revision: Revision(1),
            author: "someone".to_owned(),
            lines: vec!["add service 'historie'".to_owned()],
        });
    }
    let records = split(&state, "test");
    assert!(records.len() > 2, "the snapshot must have several chunks");
    let mut incomplete = SnapshotAssembler::default();
    records[1..].iter().for_each(|r| incomplete.add(&r.encode()));
    assert_eq!(incomplete.newest(), None);
    let mut altered = SnapshotAssembler::default();
    for record in &records {
        let text = String::from_utf8(record.encode().to_vec()).unwrap();
        altered.add(&Bytes::from(text.replace("someone", "anyone")));
    }
    assert_eq!(altered.newest(), None);
    let mut interleaved = SnapshotAssembler::default();
    let other = split(&state, "another writer");
    for (a, b) in records.iter().zip(&other) {
        interleaved.add(&a.encode());
        interleaved.add(&b.encode());
    }
    assert_eq!(interleaved.newest(), Some(state));
}

#[test]
fn records_applied_by_two_threads_at_once_are_forwarded_in_order() {
    const RECORDS: u64 = 2000;
    for _ in 0..20 {
        let replica = Replica::default();
        let apply_all = || {
            for offset in 0..RECORDS {
                replica.apply(Offset(offset), &Bytes::from(offset.to_string()));
            }
        };
        std::thread::scope(|s| {
            s.spawn(apply_all);
            s.spawn(apply_all);
        });
        let forwarded = replica.records_from(Offset(0)).unwrap();
        let offsets: Vec<u64> = forwarded.iter().map(|r| r.offset.0).collect();
        assert_eq!(offsets, (0..RECORDS).collect::<Vec<_>>());
        assert_eq!(*replica.subscribe().borrow(), Offset(RECORDS));
    }
}
