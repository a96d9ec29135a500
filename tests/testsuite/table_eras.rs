//! Ownership across eras of the store: what is left of it when the store has lost its latest records.

use std::collections::BTreeMap;

use kelpwind::core::ids::{Era, Holder, Incarnation, Offset, ServiceName, Token};
use kelpwind::table::claim::Claim;
use kelpwind::table::keys::{KEY_MAX, KeyMap, Owner, Range, Span};
use kelpwind::table::member::Instance;
use kelpwind::table::{Record, Table, WriteBatch};

use crate::table::member;

/// Number of owners in the model.
const OWNERS: usize = 5;
/// Number of transfers in the model.
const TRANSFERS: usize = 30;
const FORMER: Option<Era> = Some(Era(4));
const PRESENT: Option<Era> = Some(Era(5));

fn service() -> ServiceName {
    "books".parse().unwrap()
}

fn owner(number: usize) -> Owner {
    let holder = format!("side-{number}.10.1.0.{number}/00000000000000aa");
    let instance = Instance { id: format!("i-{number:010x}"), started_ms: 1_777_449_006_728 };
    Owner { holder: holder.parse().unwrap(), instance }
}

/// Keys that all owners hold equal parts of, in an era.
fn divided(era: Option<Era>) -> KeyMap {
    let shares: Vec<_> = (0..OWNERS).map(|n| (owner(n), 1.0)).collect();
    KeyMap::divide(&shares).above(Table::new(era).token_floor())
}

fn apply(table: &mut Table, batch: WriteBatch) {
    let next = Offset(table.next.0 + batch.records.len() as u64);
    for record in batch.records_before(next) {
        assert!(table.apply(&record), "{}", record.key);
    }
    table.next = next;
}

/// The claim of a holder to what `keys` lists as its own.
fn claim(holder: &Holder, keys: &KeyMap) -> Claim {
    Claim::new(holder.clone(), service(), keys.owned_by(holder).cloned().collect())
}

/// Writes a node's record and claim to a table.
fn join(table: &mut Table, holder: &Holder, claim: &Claim) {
    let batch = WriteBatch::put_member(&member(holder, 1)).merge(WriteBatch::put_claim(claim));
    let batch = batch.of_era(table.era);
    apply(table, batch);
}

/// The keys of an era composed from the claims in its table.
fn composed(table: &Table) -> KeyMap {
    let mut keys = KeyMap::unclaimed(table.token_floor());
    table.apply_claims(&service(), &mut keys);
    keys
}

fn owner_of(keys: &KeyMap, key: u16) -> Option<Holder> {
    keys.find(key).and_then(|r| r.owner.as_ref()).map(|o| o.holder.clone())
}

#[test]
fn a_record_of_a_former_era_takes_keys_back() {
    let mut table = Table::new(PRESENT);
    let keys = divided(PRESENT);
    let batch = WriteBatch::put_keys(&table, &service(), &keys).of_era(PRESENT);
    apply(&mut table, batch);
    let mut stale = divided(FORMER);
    assert!(stale.transfer(Span { first: 0, last: KEY_MAX }, Some(&owner(1).holder), None, None));
    let late = WriteBatch::put_keys(&Table::new(FORMER), &service(), &stale);
    apply(&mut table, late.clone().of_era(FORMER));
    apply(&mut table, late.clone());
    assert_eq!(table.keys[&service()], keys);
    let count = late.records.len() * 2;
    assert_eq!(WriteBatch::delete_former(&table).records.len(), count, "all of them are deleted");
}

#[test]
fn a_token_of_a_former_era_is_assigned_again() {
    let mut former = divided(FORMER);
    for n in 0..1000 {
        let (from, to) = (owner(n % OWNERS), owner((n + 1) % OWNERS));
        former.transfer(Span { first: 0, last: 99 }, Some(&from.holder), Some(to), None);
    }
    let highest = former.ranges.iter().map(|r| r.token).max().unwrap();
    // None of the transfers is left, and all owners claim what they had before.
    let mut table = Table::new(PRESENT);
    for n in 0..OWNERS {
        let holder = owner(n).holder;
        join(&mut table, &holder, &claim(&holder, &divided(FORMER)));
    }
    let mut keys = composed(&table);
    assert!(keys.transfer(Span { first: 0, last: 9 }, Some(&owner(0).holder), None, None));
    assert!(keys.find(0).unwrap().token > highest);
    assert!(keys.find(0).unwrap().token < Token(1 << 53), "JSON numbers hold it exactly");
}

#[test]
fn a_claim_takes_keys_from_an_owner_with_a_higher_token() {
    let mut table = Table::new(PRESENT);
    let former = divided(FORMER);
    let (a, b) = (owner(0), owner(1));
    let mut moved = former.clone();
    let span = Span { first: 100, last: 199 };
    assert!(moved.transfer(span, Some(&a.holder), Some(b.clone()), None));
    for order in [[(&a, &former), (&b, &moved)], [(&b, &moved), (&a, &former)]] {
        for (owner, keys) in order {
            join(&mut table, &owner.holder, &claim(&owner.holder, keys));
        }
        let keys = composed(&table);
        assert_eq!(owner_of(&keys, 150), Some(b.holder.clone()));
        assert_eq!(owner_of(&keys, 99), Some(a.holder.clone()));
        assert_eq!(keys.find(150).unwrap().token, moved.find(150).unwrap().token);
    }
    // A claim that is written late takes no keys that were assigned in the present era.
    let mut assigned = composed(&table);
    assert!(assigned.transfer(span, Some(&b.holder), Some(a.clone()), None));
    let before = assigned.clone();
    assert!(!table.apply_claims(&service(), &mut assigned));
    assert_eq!(assigned, before);
}

#[test]
fn a_claim_of_a_node_that_has_left_counts() {
    let mut table = Table::new(PRESENT);
    let holder = owner(2).holder;
    join(&mut table, &holder, &claim(&holder, &divided(FORMER)));
    assert!(owner_of(&composed(&table), 30_000).is_some());
    apply(&mut table, WriteBatch::delete_member(&holder.node).of_era(PRESENT));
    assert_eq!(owner_of(&composed(&table), 30_000), None);
    // A later run of the node takes the keys back itself, once no former grant is in force.
    let later = Holder { inc: Incarnation(holder.inc.0 + 1), ..holder.clone() };
    apply(&mut table, WriteBatch::put_member(&member(&later, 1)).of_era(PRESENT));
    assert_eq!(owner_of(&composed(&table), 30_000), Some(holder));
}

#[test]
fn a_malformed_claim_takes_keys() {
    let mut table = Table::new(PRESENT);
    let holder = owner(0).holder;
    let foreign = Claim::new(holder.clone(), service(), divided(FORMER).ranges);
    join(&mut table, &holder, &foreign);
    assert_eq!(owner_of(&composed(&table), 65_000), None, "a node claims keys for itself only");
    let record = |value: &'static [u8]| Record {
        offset: Offset(1000),
        key: format!("e5/claim/{}", holder.node),
        value: Some(value.into()),
    };
    let before = composed(&table);
    assert!(!table.apply(&record(b"{}")));
    assert!(!table.apply(&record(b"\xff")));
    assert_eq!(composed(&table), before);
}

/// Each owner knows its own decisions at once, and what it was given once it has read that. Whatever
/// was lost, no key goes to another than its last owner.
#[test]
fn a_key_goes_to_another_than_its_last_owner_whatever_was_lost() {
    for seed in 0..200 {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut present = divided(FORMER);
        let mut views: BTreeMap<usize, KeyMap> =
            (0..OWNERS).map(|n| (n, divided(FORMER))).collect();
        for _ in 0..TRANSFERS {
            let range = present.ranges[random.usize(..present.ranges.len())].clone();
            let first = random.u16(range.span.first..=range.span.last);
            let span = Span { first, last: random.u16(first..=range.span.last) };
            let from = range.owner.unwrap();
            let giver = (0..OWNERS).find(|n| owner(*n) == from).unwrap();
            // An owner that does not know of its keys decides nothing about them.
            if views[&giver].find(first).unwrap().token != range.token {
                continue;
            }
            let taker = random.usize(..OWNERS);
            if taker == giver {
                continue;
            }
            assert!(present.transfer(span, Some(&from.holder), Some(owner(taker)), None));
            views.insert(giver, present.clone());
            for view in views.values_mut().filter(|_| random.u32(..3) > 0) {
                *view = present.clone();
            }
        }
        let mut table = Table::new(PRESENT);
        let claiming: Vec<usize> = (0..OWNERS).filter(|_| random.u32(..4) > 0).collect();
        for n in &claiming {
            let holder = owner(*n).holder;
            join(&mut table, &holder, &claim(&holder, &views[n]));
        }
        let keys = composed(&table);
        for key in (0..=KEY_MAX).step_by(97) {
            let last: &Range = present.find(key).unwrap();
            let Some(found) = owner_of(&keys, key) else { continue };
            assert_eq!(
                Some(&found),
                last.owner.as_ref().map(|o| &o.holder),
                "seed {seed}, key {key}"
            );
        }
    }
}
