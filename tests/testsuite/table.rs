//! Tests of the ownership records of the table and of the rates at which nodes read the store.
//!
//! Readers must end with the writer's state in whatever order records arrive, and a move must write
//! only the records that it affects.

use std::time::Duration;

use kelpwind::core::ids::{Era, Holder, Incarnation, Offset, ServiceName, Version};
use kelpwind::lease::message::IncarnationId;
use kelpwind::table::keys::{KEY_MAX, KeyMap, Owner, Range, Span};
use kelpwind::table::member::{Instance, Member};
use kelpwind::table::polling::{self, ReadRole};
use kelpwind::table::{Record, Table, WriteBatch};
use rstest::rstest;

/// Number of owners of a service, as in large installations.
const OWNERS: usize = 40;
/// Maximum size of the write for moving one range, which affects one or two records.
const MOVE_BYTES_MAX: usize = 4 << 10;

fn service() -> ServiceName {
    "books".parse().unwrap()
}

fn owner(number: usize) -> Owner {
    let holder = format!("sidecar-zone-one-{number}.10.1.0.{number}/00000000000000aa");
    let instance = Instance { id: format!("i-{number:010x}"), started_ms: 1_777_449_006_728 };
    Owner { holder: holder.parse().unwrap(), instance }
}

fn size(batch: &WriteBatch) -> usize {
    batch.records.iter().map(|(k, v)| k.len() + v.as_ref().map_or(0, |v| v.len())).sum()
}

/// A log and the table of its writer.
struct Log {
    table: Table,
    records: Vec<Record>,
}

impl Log {
    fn new() -> Log {
        let shares: Vec<_> = (0..OWNERS).map(|n| (owner(n), 1.0)).collect();
        let mut log = Log { table: Table::default(), records: Vec::new() };
        log.write(&KeyMap::divide(&shares));
        log
    }

    fn keys(&self) -> KeyMap {
        self.table.keys[&service()].clone()
    }

    fn write(&mut self, keys: &KeyMap) -> usize {
        let batch = WriteBatch::put_keys(&self.table, &service(), keys);
        let next = Offset((self.records.len() + batch.records.len()) as u64);
        for record in batch.records_before(next) {
            assert!(self.table.apply(&record));
            self.records.push(record);
        }
        size(&batch)
    }

    /// Moves a part of a random range to a random owner and returns the size of the write.
    fn move_part(&mut self, random: &mut fastrand::Rng) -> usize {
        let mut keys = self.keys();
        let range = keys.ranges[random.usize(..keys.ranges.len())].clone();
        let width = random.u32(1..=range.span.width().min(600));
        let span = Span { last: range.span.first + (width - 1) as u16, ..range.span };
        let from = range.owner.unwrap().holder;
        let handover = Some(format!("{:016x}", random.u64(..)));
        assert!(keys.transfer(span, Some(&from), Some(owner(random.usize(..OWNERS))), handover));
        let size = self.write(&keys);
        assert_eq!(
            state_of_keys(&self.keys()),
            state_of_keys(&keys),
            "the table matches what was written"
        );
        size
    }
}

/// Owner, token and handover of each sampled key, regardless of how keys are divided into ranges.
fn state_of_keys(keys: &KeyMap) -> Vec<(Option<Owner>, u64, Option<String>)> {
    let of = |range: &Range| (range.owner.clone(), range.token.0, range.handover.clone());
    (0..=KEY_MAX).step_by(13).map(|key| of(keys.find(key).expect("each key has a range"))).collect()
}

#[test]
fn the_write_of_a_move_stays_small_with_many_ranges() {
    let mut log = Log::new();
    let mut random = fastrand::Rng::with_seed(11);
    let sizes: Vec<usize> = (0..400).map(|_| log.move_part(&mut random)).collect();
    assert!(log.keys().ranges.len() > 200, "there are many ranges");
    let most = sizes.iter().max().unwrap();
    assert!(*most <= MOVE_BYTES_MAX, "{most} bytes written for one move");
}

#[test]
fn incremental_and_full_reads_lead_to_the_same_table() {
    let mut log = Log::new();
    let mut random = fastrand::Rng::with_seed(12);
    for _ in 0..60 {
        log.move_part(&mut random);
    }
    let mut in_order = Table::default();
    log.records.iter().for_each(|r| assert!(in_order.apply(r)));
    assert_eq!(in_order.keys, log.table.keys);
    // A full read returns the newest record of each record key in the order of the record keys, and
    // the reads that follow may begin before its end.
    let mut newest = std::collections::BTreeMap::new();
    log.records.iter().for_each(|r| drop(newest.insert(r.key.clone(), r.clone())));
    let mut full_read = Table::default();
    newest.values().for_each(|r| assert!(full_read.apply(r)));
    log.records.iter().rev().take(20).rev().for_each(|r| assert!(full_read.apply(r)));
    assert_eq!(full_read.keys, log.table.keys);
}

#[test]
fn a_malformed_record_changes_nothing() {
    let mut log = Log::new();
    let before = log.keys();
    let broken = ["keys/books/99", "keys/books", "keys/books/x", "keys/BOOKS!/1", "other/1"];
    for key in broken {
        let record = Record {
            offset: Offset(1000),
            key: key.to_owned(),
            value: Some(r#"{"owners":[],"ranges":[]}"#.into()),
        };
        assert!(!log.table.apply(&record), "{key}");
    }
    let unknown_owner = r#"{"owners":[],"ranges":[[0,1023,3,9,null]]}"#;
    let record = Record {
        offset: Offset(1001),
        key: "keys/books/0".to_owned(),
        value: Some(unknown_owner.into()),
    };
    assert!(!log.table.apply(&record));
    assert_eq!(log.keys(), before);
}

/// Guards against read rates that grow with the number of nodes beyond what the store can serve.
/// All nodes together must stay within a fifth of `capacity`, in requests per second, while the
/// table changes.
#[rstest]
#[case(14, 2_000.0)]
#[case(88, 6_000.0)]
#[case(300, 6_000.0)]
#[case(2_700, 6_000.0)]
fn reads_of_all_nodes_stay_within_the_capacity_of_the_store(
    #[case] nodes: u32,
    #[case] capacity: f64,
) {
    let table = f64::from(nodes) / polling::table_interval(nodes).as_secs_f64();
    let frequent = frequent_readers(nodes, 0.5 / f64::from(nodes));
    let infrequent = f64::from(nodes) - frequent;
    let orders = frequent / ReadRole::Frequent.max_wait().as_secs_f64()
        + infrequent / ReadRole::Infrequent.max_wait().as_secs_f64();
    assert!(table + orders < capacity / 5.0, "{table} and {orders} reads a second");
}

/// Number of nodes that read frequently, with their draws evenly spaced from `first`.
fn frequent_readers(nodes: u32, first: f64) -> f64 {
    let draw = |i: u32| first + f64::from(i) / f64::from(nodes);
    let frequent = (0..nodes).filter(|i| ReadRole::assign(nodes, draw(*i)) == ReadRole::Frequent);
    frequent.count() as f64
}

#[test]
fn some_nodes_always_read_the_orders_frequently() {
    let mut random = fastrand::Rng::with_seed(13);
    for nodes in [1, 13, 24, 25, 88, 300, 2_700] {
        let fewest = (0..200).map(|_| {
            (0..nodes)
                .filter(|_| ReadRole::assign(nodes, random.f64()) == ReadRole::Frequent)
                .count()
        });
        let fewest = fewest.min().unwrap();
        assert!(fewest >= nodes.min(2) as usize, "{fewest} of {nodes}");
    }
}

/// Guards against retries that multiply with the number of nodes while the store resets all calls
/// for seconds; every call has a cost.
#[test]
fn retries_during_a_store_outage_grow_less_than_the_number_of_nodes() {
    let calls = |nodes: u32| {
        let frequent = frequent_readers(nodes, 0.5 / f64::from(nodes));
        let pause = |reader: ReadRole| reader.max_retry_pause().as_secs_f64();
        frequent / pause(ReadRole::Frequent)
            + (f64::from(nodes) - frequent) / pause(ReadRole::Infrequent)
            + f64::from(nodes) / polling::max_table_retry_pause(nodes).as_secs_f64()
    };
    assert!(calls(88) < 3.0 * calls(14), "{} and {} calls a second", calls(88), calls(14));
    assert!(calls(2_700) < 6_000.0 / 1.5, "{} calls a second", calls(2_700));
}

/// A record of `holder` with a witness set of this version.
pub(crate) fn member(holder: &Holder, version: u64) -> Member {
    Member {
        holder: holder.clone(),
        addr: ([127, 0, 0, 1], 7620).into(),
        domain: "zone-one".parse().unwrap(),
        region: "west".to_owned(),
        service: service(),
        server: None,
        stopping: false,
        witnesses: Vec::new(),
        version: Version(version),
        excess_ms: 0,
    }
}

/// The first owner in an earlier and in a later incarnation.
fn two_runs() -> (Holder, Holder) {
    let former = owner(0).holder;
    let later = Holder { inc: Incarnation(former.inc.0 + 1), ..former.clone() };
    (former, later)
}

/// Who assigns the keys of a member that has ended must know for how long its grants may last.
#[test]
fn how_long_grants_outlast_a_lease_is_known_after_the_end_of_the_member() {
    let (former, later) = two_runs();
    let record = |offset: u64, member: &Member| {
        let batch = WriteBatch::put_member(member);
        batch.records_before(Offset(offset + 1)).remove(0)
    };
    let mut table = Table::default();
    let with_excess = |holder: &Holder, excess_ms| Member { excess_ms, ..member(holder, 0) };
    assert!(table.apply(&record(0, &with_excess(&former, 700))));
    assert_eq!(table.former_excess(&former), None);
    assert!(table.apply(&record(1, &with_excess(&later, 300))));
    assert_eq!(table.former_excess(&former), Some(Duration::from_millis(700)));
    let gone = WriteBatch::delete_member(&later.node);
    assert!(table.apply(&gone.records_before(Offset(3)).remove(0)));
    assert_eq!(table.former_excess(&later), Some(Duration::from_millis(300)));
    assert_eq!(table.former_excess(&former), None);
}

/// The store may carry out a write after its author has ended and its node has started again.
#[rstest]
#[case::former_run(two_runs().0, 7)]
#[case::former_witness_set(two_runs().1, 2)]
fn a_record_written_late_replaces_a_later_one(#[case] late: Holder, #[case] version: u64) {
    let (_, present) = two_runs();
    let mut log = Log::new();
    let put = |table: &mut Table, offset, holder: &Holder, version| {
        let (key, value) = WriteBatch::put_member(&member(holder, version)).records.remove(0);
        assert!(table.apply(&Record { offset: Offset(offset), key, value }));
    };
    put(&mut log.table, 1000, &present, 3);
    put(&mut log.table, 1001, &late, version);
    let known = |table: &Table| table.members[&present.node].clone();
    assert_eq!(known(&log.table), member(&present, 3));
    assert!(log.table.is_outdated(&present.node), "the node must write its record again");
    put(&mut log.table, 1002, &present, 3);
    assert!(!log.table.is_outdated(&present.node));
    put(&mut log.table, 1003, &present, 4);
    assert_eq!(known(&log.table), member(&present, 4));
}

/// Nodes that read the whole table after the late write know only that record.
#[test]
fn an_owner_whose_record_was_replaced_by_a_late_one_counts_as_departed() {
    let (former, later) = two_runs();
    let mut table = Table::default();
    table.members.insert(former.node.clone(), member(&former, 0));
    assert!(!table.has_departed(&later));
    assert!(!table.has_departed(&former));
    table.members.insert(former.node.clone(), member(&later, 0));
    assert!(table.has_departed(&former));
    table.members.clear();
    assert!(table.has_departed(&later));
}

/// Witnesses no longer acknowledge renewals of a succeeded owner.
#[test]
fn an_owner_keeps_its_lease_after_a_later_run_has_joined() {
    let mut log = Log::new();
    let (former, later) = two_runs();
    log.table.members.insert(former.node.clone(), member(&former, 0));
    assert!(log.table.succeeded_owners().is_empty());
    log.table.members.insert(later.node.clone(), member(&later, 0));
    let expected = std::collections::BTreeSet::from([IncarnationId::from(former.inc)]);
    assert_eq!(log.table.succeeded_owners(), expected);
}

/// A table of an era to which a batch was written.
fn table_of_era(era: Option<Era>, batch: WriteBatch) -> Table {
    let mut table = Table::new(Some(Era(2)));
    let next = Offset(batch.records.len() as u64);
    for record in batch.of_era(era).records_before(next) {
        assert!(table.apply(&record));
    }
    table
}

#[test]
fn a_store_with_records_or_tokens_of_former_eras_has_lost_records() {
    let empty = Table::new(Some(Era(2)));
    let floor = empty.token_floor();
    let assigned = KeyMap::divide(&[(owner(1), 1.0)]);
    let put = |keys: &KeyMap| WriteBatch::put_keys(&empty, &service(), keys);
    assert!(!empty.follows_loss());
    assert!(table_of_era(None, put(&assigned)).follows_loss());
    assert!(table_of_era(Some(Era(1)), put(&assigned)).follows_loss());
    assert!(table_of_era(Some(Era(2)), put(&KeyMap::unclaimed(floor))).follows_loss());
    assert!(!table_of_era(Some(Era(2)), put(&assigned.above(floor))).follows_loss());
}
