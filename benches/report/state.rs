//! Cost of the replicated state: applying records, memory, snapshots and planning, by the number of
//! slices and members.

use std::time::Instant;

use bytes::Bytes;
use kelpwind::core::config::Config;
use kelpwind::core::config::change::Change;
use kelpwind::core::ids::{Count, Holder, Incarnation, Offset, Revision, Token};
use kelpwind::core::record::{Body, Member, Peer, Record};
use kelpwind::core::state::State;
use kelpwind::lease::set;
use kelpwind::log::snapshot::{SnapshotAssembler, split};
use kelpwind::place::planner;

use super::proc::{format_short, resident_bytes};
use super::write::Report;

/// Numbers of slices and members.
const SIZES: [(u32, u64); 5] =
    [(1_000, 27), (10_000, 270), (50_000, 1_350), (100_000, 2_700), (200_000, 2_700)];
const RECORDS: u64 = 1_000;

fn holder(n: u64) -> Holder {
    let name = format!("nl-west-rdam-a-host-{n:04}");
    Holder { node: name.parse().expect("a name"), inc: Incarnation(n.wrapping_mul(0x9e37_79b9)) }
}

pub(crate) fn member(n: u64) -> Member {
    Member {
        holder: holder(n),
        peer: ([127, 0, 0, 1], 7000).into(),
        admin: ([127, 0, 0, 1], 7001).into(),
        domain: format!("domain-{}", n % 7).parse().expect("a name"),
        service: Some("historie".parse().expect("a name")),
        slots: Count(12),
        conns: Count(130),
        fenced: true,
        draining: false,
        witnesses: (1..6)
            .map(|i| Peer { holder: holder(n + i), addr: ([127, 0, 0, 1], 7000).into() })
            .collect(),
    }
}

pub(crate) fn config(slices: u32) -> Config {
    let mut text = String::new();
    for n in 0..7 {
        text += &format!("[failure-domain.domain-{n}]\nregion = \"r{}\"\n", n % 3);
    }
    text += "[policy.p]\nrepeat = \"idempotent\"\n[service.historie]\n";
    text += "domains = [\"domain-0\"]\nread = \"p\"\nwrite = \"p\"\n";
    text += &format!("[key-range.keys]\nservice = \"historie\"\nslices = {slices}\n");
    Config::try_from(text.as_str()).expect("a valid configuration")
}

pub(crate) fn apply(state: &mut State, body: Body) {
    let raw = Record::new("bench", body).encode();
    let _ = state.apply(state.next, &raw);
}

/// Runs a function; returns its result and its time in milliseconds.
fn timed<T>(run: impl FnOnce() -> T) -> (T, f64) {
    let began = Instant::now();
    let result = run();
    (result, began.elapsed().as_secs_f64() * 1e3)
}

pub(crate) fn measure(report: &mut Report) {
    report.section(
        "State",
        "One key range, one thread, times in milliseconds unless stated. `apply` is the mean over \
         1,000 records that each change the witness set of one member. `split` and `assemble` \
         write and read a snapshot; `reassign` plans new owners for the slices of one lost member, \
         and `witnesses` chooses the witness set of one member.",
    );
    let mut rows = Vec::new();
    for (slices, members) in SIZES {
        rows.push(measure_size(slices, members));
    }
    let headings = [
        "slices",
        "members",
        "memory MB",
        "apply µs",
        "snapshot MB",
        "split",
        "assemble",
        "assign all",
        "rebalance",
        "reassign",
        "witnesses",
    ];
    report.table(&headings, &rows);
}

fn measure_size(slices: u32, members: u64) -> Vec<String> {
    let id = std::process::id();
    let before = resident_bytes(id);
    let mut state = State::default();
    let change = Change::between(&Config::default(), &config(slices));
    apply(&mut state, Body::Config { base: Revision(0), change });
    (0..members).for_each(|n| apply(&mut state, Body::Join(member(n))));
    let range = "keys".parse().expect("a name");
    let (moves, assign_time) = timed(|| planner::assign(&state, &range));
    apply(&mut state, Body::Assign { moves });
    let state_bytes = resident_bytes(id).saturating_sub(before);

    let records: Vec<Bytes> = (0..RECORDS)
        .map(|n| {
            let member = member(n % members);
            let base = state.members[&member.holder].version;
            let body = Body::Witnesses { holder: member.holder, base, set: member.witnesses };
            Record::new("bench", body).encode()
        })
        .collect();
    let ((), apply_time) = timed(|| {
        for raw in &records {
            let _ = state.apply(state.next, raw);
        }
    });
    let (pieces, split_time) = timed(|| split(&state, "bench"));
    let raw: Vec<Bytes> = pieces.iter().map(Record::encode).collect();
    let snapshot_bytes: usize = raw.iter().map(Bytes::len).sum();
    let (assembled, assemble_time) = timed(|| {
        let mut assembler = SnapshotAssembler::default();
        raw.iter().for_each(|r| assembler.add(r));
        assembler.newest()
    });
    assert!(assembled.is_some_and(|s| s.next == state.next && s.next > Offset(0)));
    let (_, rebalance_time) = timed(|| planner::rebalance(&state, &range, 8));
    let (moves, reassign_time) = timed(|| planner::reassign(&state, &holder(1)));
    assert!(moves.iter().all(|m| m.prev > Token(0)));
    let (_, witnesses_time) = timed(|| {
        set::choose(&member(3), state.newest_members(), &[], &std::collections::BTreeSet::new())
    });
    let mb = |bytes: f64| format_short(bytes / 1e6);
    vec![
        slices.to_string(),
        members.to_string(),
        mb(state_bytes as f64),
        format_short(apply_time * 1e3 / RECORDS as f64),
        mb(snapshot_bytes as f64),
        format_short(split_time),
        format_short(assemble_time),
        format_short(assign_time),
        format_short(rebalance_time),
        format_short(reassign_time),
        format_short(witnesses_time),
    ]
}
