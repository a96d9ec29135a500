//! Churn and imbalance of the planner compared with rendezvous hashing, on the same events.

use std::collections::BTreeMap;

use kelpwind::core::config::Config;
use kelpwind::core::config::change::Change;
use kelpwind::core::ids::{Holder, Revision};
use kelpwind::core::record::{Body, Move};
use kelpwind::core::state::State;
use kelpwind::place::planner;

use super::proc::format_short;
use super::state::{apply, config, member};
use super::write::Report;

const MEMBERS: u64 = 105;
const SLICES: u32 = 6_720;
const DOMAINS: u64 = 7;

/// A membership change: its name, and whether member `n` is alive after it.
type Event = (&'static str, fn(u64) -> bool);

/// Owner of each slice, by slice number.
type Owners = Vec<Option<Holder>>;

pub(crate) fn measure(report: &mut Report) {
    report.section(
        "Placement",
        "105 members of equal size in 7 failure domains, 6,720 slices. Churn is the percentage of \
         slices that changed owner; `minimum` is the percentage whose owner left. Imbalance is the \
         maximum number of slices per member divided by the mean. Rendezvous hashing assigns each \
         slice to the member with the highest hash of both.",
    );
    let mut rows = Vec::new();
    let mut planned = PlannerDriver::new();
    let mut rendezvous_owners: Owners = rendezvous(|_| true);
    let events: [Event; 4] = [
        ("start", |_| true),
        ("one member lost", |n| n != 3),
        ("a failure domain lost", |n| n != 3 && n % DOMAINS != 1),
        ("the failure domain restored", |n| n != 3),
    ];
    for (name, live) in events {
        let before = planned.owners();
        planned.set_live(live);
        let after = planned.owners();
        let hashed = rendezvous(live);
        rows.push(vec![
            name.to_owned(),
            percent(forced_churn(&before, live)),
            percent(churn(&before, &after)),
            percent(churn(&rendezvous_owners, &hashed)),
            format_short(imbalance(&after)),
            format_short(imbalance(&hashed)),
        ]);
        rendezvous_owners = hashed;
    }
    let headings =
        ["event", "minimum", "churn", "churn, rendezvous", "imbalance", "imbalance, rendezvous"];
    report.table(&headings, &rows);
}

/// Applies the planner's moves to a state without a log.
struct PlannerDriver {
    state: State,
}

impl PlannerDriver {
    fn new() -> PlannerDriver {
        let mut state = State::default();
        let change = Change::between(&Config::default(), &config(SLICES));
        apply(&mut state, Body::Config { base: Revision(0), change });
        PlannerDriver { state }
    }

    /// Removes the members that are not live, adds the others, and rebalances until the planner
    /// returns no more transfers.
    fn set_live(&mut self, live: fn(u64) -> bool) {
        for n in 0..MEMBERS {
            let holder = member(n).holder;
            let known = self.state.members.contains_key(&holder);
            if live(n) && !known {
                apply(&mut self.state, Body::Join(member(n)));
            }
            if !live(n) && known {
                let base = self.state.members[&holder].version;
                let moves = planner::reassign(&self.state, &holder);
                apply(&mut self.state, Body::Revoke { holder, base, moves });
            }
        }
        let range = "keys".parse().expect("a name");
        let moves = planner::assign(&self.state, &range);
        apply(&mut self.state, Body::Assign { moves });
        loop {
            let transfers = planner::rebalance(&self.state, &range, 64);
            if transfers.is_empty() {
                return;
            }
            for t in transfers {
                let slice = t.slice.slice;
                let moves = vec![Move { range: t.slice.range, slice, prev: t.token, to: t.to }];
                apply(&mut self.state, Body::Handover { from: t.from, moves });
            }
        }
    }

    fn owners(&self) -> Owners {
        self.state.ranges.values().flat_map(|r| &r.slices).map(|s| s.holder.clone()).collect()
    }
}

/// Owners under rendezvous hashing.
fn rendezvous(live: fn(u64) -> bool) -> Owners {
    let members: Vec<Holder> =
        (0..MEMBERS).filter(|n| live(*n)).map(|n| member(n).holder).collect();
    let hash = |holder: &Holder, slice: u32| {
        xxhash_rust::xxh3::xxh3_64_with_seed(&slice.to_le_bytes(), holder.inc.0)
    };
    (0..SLICES).map(|s| members.iter().max_by_key(|h| hash(h, s)).cloned()).collect()
}

/// Fraction of the slices whose owner changed, not counting first assignments.
fn churn(before: &Owners, after: &Owners) -> f64 {
    let moved = before.iter().zip(after).filter(|(b, a)| b.is_some() && b != a).count();
    moved as f64 / after.len() as f64
}

/// Fraction of the slices whose owner is not live.
fn forced_churn(before: &Owners, live: fn(u64) -> bool) -> f64 {
    let gone: Vec<Holder> = (0..MEMBERS).filter(|n| !live(*n)).map(|n| member(n).holder).collect();
    let forced = before.iter().flatten().filter(|h| gone.contains(h)).count();
    forced as f64 / before.len() as f64
}

/// Maximum number of slices per member divided by the mean.
fn imbalance(owners: &Owners) -> f64 {
    let mut counts: BTreeMap<&Holder, f64> = BTreeMap::new();
    owners.iter().flatten().for_each(|h| *counts.entry(h).or_default() += 1.0);
    let max = counts.values().copied().fold(0.0, f64::max);
    max * counts.len() as f64 / owners.len() as f64
}

fn percent(fraction: f64) -> String {
    format!("{:.1}%", fraction * 100.0)
}
