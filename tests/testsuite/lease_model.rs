//! The lease's rules against any order of renewals, losses, restarts, changes of set and takeovers:
//! once the log has accepted a takeover, the holder's lease never holds again.
//!
//! One holder, some nodes that may witness it, and a log that decides in its order. Datagrams are
//! delivered in any order, late, twice or never. Only the pure parts run, with time as a number.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use kelpwind::core::ids::{Holder, Incarnation, Offset, RecordId, Version};
use kelpwind::core::record::Peer;
use kelpwind::lease::clock::Moment;
use kelpwind::lease::holder::Lease;
use kelpwind::lease::message::{IncarnationId, Message, Seq};
use kelpwind::lease::takeover::Takeover;
use kelpwind::lease::witness::{Role, Witness};
use proptest::prelude::*;

const NODES: usize = 7;
const HOLDER_INC: u64 = 1_000;
const CHALLENGER: IncarnationId = IncarnationId(9_999);

#[derive(Clone, Debug)]
enum Step {
    Wait(u64),
    /// The holder renews; the nodes of the first set get it at once, and the acknowledgements of
    /// those in the second arrive at once. The rest stays on its way.
    Renew(u8, u8),
    Deliver(usize),
    Lose(usize),
    Repeat(usize),
    Restart(usize),
    ProposeSet(Vec<usize>),
    /// The record of a proposed set reaches the log.
    LogSet,
    /// The holder reads the log.
    Read,
    /// The challenger asks; which questions and promises arrive at once is as for `Renew`.
    Ask(u8, u8),
    /// The challenger reads the log and starts over with the set it names.
    Challenge,
    WriteTakeover,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        8 => (1u64..400).prop_map(Step::Wait),
        2 => (800u64..1600).prop_map(Step::Wait),
        8 => (any::<u8>(), any::<u8>()).prop_map(|(to, back)| Step::Renew(to, back)),
        6 => (0usize..64).prop_map(Step::Deliver),
        2 => (0usize..64).prop_map(Step::Lose),
        2 => (0usize..64).prop_map(Step::Repeat),
        1 => (0..NODES).prop_map(Step::Restart),
        1 => prop::sample::subsequence((0..NODES).collect::<Vec<_>>(), 3..=5)
            .prop_map(Step::ProposeSet),
        2 => Just(Step::LogSet),
        1 => Just(Step::Read),
        6 => (any::<u8>(), any::<u8>()).prop_map(|(to, back)| Step::Ask(to, back)),
        1 => Just(Step::Challenge),
        6 => Just(Step::WriteTakeover),
    ]
}

struct World {
    now: Moment,
    lease: Lease,
    incs: Vec<u64>,
    witnesses: Vec<Witness>,
    flying: Vec<Message>,
    /// The log's word on the holder's set.
    version: Version,
    set: Vec<Peer>,
    proposed: Option<(Version, Vec<Peer>)>,
    takeover: Takeover,
    revoked: bool,
    /// How often the lease held and a takeover was accepted, so that the test is not empty.
    held: bool,
}

fn holder() -> Holder {
    Holder { node: "h".parse().unwrap(), inc: Incarnation(HOLDER_INC) }
}

fn peer(node: usize, inc: u64) -> Peer {
    let holder = Holder { node: format!("w{node}").parse().unwrap(), inc: Incarnation(inc) };
    Peer { holder, addr: ([127, 0, 0, 1], node as u16 + 1).into() }
}

fn node_of(listed: IncarnationId) -> usize {
    (listed.0 % 100) as usize
}

impl World {
    fn new() -> World {
        let now = Moment::from_micros(10_000_000);
        let incs: Vec<u64> = (0..NODES as u64).collect();
        let set: Vec<Peer> = (0..5).map(|n| peer(n, incs[n])).collect();
        let tag = IncarnationId(HOLDER_INC);
        let mut witnesses: Vec<Witness> =
            incs.iter().map(|i| Witness::new(IncarnationId(*i), now)).collect();
        for witness in &mut witnesses {
            witness.update_members(&BTreeSet::from([tag]), &BTreeSet::from([tag]), now);
        }
        let version = Version(1);
        World {
            now,
            lease: Lease::new(holder(), version, set.clone()),
            incs,
            witnesses,
            flying: Vec::new(),
            version,
            takeover: Takeover::new(holder(), version, set.clone()),
            set,
            proposed: None,
            revoked: false,
            held: false,
        }
    }

    fn run(&mut self, step: &Step) {
        match step {
            Step::Wait(ms) => self.now = self.now + Duration::from_millis(*ms),
            Step::Renew(to, back) => {
                let sent = self.lease.renew(Offset(0), self.now);
                self.exchange(sent.into_iter().map(|(_, m)| m).collect(), *to, *back);
            }
            Step::Deliver(i) => {
                if let Some(message) = self.pick(*i) {
                    self.deliver(message);
                }
            }
            Step::Lose(i) => drop(self.pick(*i)),
            Step::Repeat(i) => {
                if let Some(message) = self.pick(*i) {
                    self.flying.push(message);
                    self.deliver(message);
                }
            }
            Step::Restart(node) => self.restart(*node),
            Step::ProposeSet(nodes) => self.propose(nodes),
            Step::LogSet => self.log_set(),
            Step::Read => {
                let set = self.set.clone();
                self.lease.adopt_set(self.version, &set);
            }
            Step::Ask(to, back) => {
                let sent = self.takeover.promise_requests(CHALLENGER, self.now);
                self.exchange(sent.into_iter().map(|(_, m)| m).collect(), *to, *back);
            }
            Step::Challenge => {
                self.takeover = Takeover::new(holder(), self.version, self.set.clone());
            }
            Step::WriteTakeover => {
                let same = self.takeover.version == self.version;
                self.revoked |= same && self.takeover.is_ready(self.now);
            }
        }
        self.held |= self.lease.is_valid(self.now);
    }

    /// Delivers the messages to the nodes in `to`, and the answers of those in `back`; the rest
    /// stays on its way.
    fn exchange(&mut self, sent: Vec<Message>, to: u8, back: u8) {
        for message in sent {
            let node = match message {
                Message::Renew { witness, .. } | Message::PromiseRequest { witness, .. } => {
                    node_of(witness)
                }
                _ => 0,
            };
            let on_way = self.flying.len();
            if to >> node & 1 == 0 {
                self.flying.push(message);
                continue;
            }
            self.deliver(message);
            if back >> node & 1 == 1 && self.flying.len() > on_way {
                let answer = self.flying.swap_remove(on_way);
                self.deliver(answer);
            }
        }
    }

    fn pick(&mut self, i: usize) -> Option<Message> {
        if self.flying.is_empty() {
            return None;
        }
        Some(self.flying.swap_remove(i % self.flying.len()))
    }

    fn restart(&mut self, node: usize) {
        self.incs[node] += 100;
        let mut fresh = Witness::new(IncarnationId(self.incs[node]), self.now);
        let known = BTreeSet::from([IncarnationId(HOLDER_INC)]);
        fresh.update_members(&known, &known, self.now);
        self.witnesses[node] = fresh;
    }

    fn propose(&mut self, nodes: &[usize]) {
        if self.lease.pending_change().is_some() {
            return;
        }
        let set: Vec<Peer> = nodes.iter().map(|n| peer(*n, self.incs[*n])).collect();
        self.lease.begin_set_change(RecordId(7), set.clone());
        self.proposed = Some((self.lease.version(), set));
    }

    fn log_set(&mut self) {
        let Some((base, set)) = self.proposed.clone() else { return };
        if !self.revoked && base == self.version {
            self.version = Version(self.version.0 + 1);
            self.set = set;
        }
    }

    fn deliver(&mut self, message: Message) {
        let now = self.now;
        let answer = match message {
            Message::Renew { holder, witness, seq, next } => {
                let node = node_of(witness);
                let memory = &mut self.witnesses[node];
                memory.record_contact(holder, now);
                let meant = self.incs[node] == witness.0;
                meant.then(|| memory.handle_renewal(holder, seq, next, now))
            }
            Message::Ack { witness, seq, .. } => {
                self.lease.record_ack(witness, seq);
                None
            }
            Message::Refuse { witness, .. } => {
                self.lease.record_refusal(witness);
                None
            }
            Message::PromiseRequest { holder, version, witness, .. } => {
                let node = node_of(witness);
                let itself = self.incs[node] == witness.0;
                // An incarnation that does not run yet cannot be spoken for.
                if self.incs[node] < witness.0 {
                    return;
                }
                let role = if itself { Role::Listed } else { Role::Successor };
                self.witnesses[node].handle_promise_request(holder, version, witness, role, now)
            }
            Message::Promise { version, witness, remaining_ms: remaining, .. } => {
                let remaining = Duration::from_millis(remaining.into());
                self.takeover.record_promise(version, witness, remaining, now);
                None
            }
        };
        self.flying.extend(answer);
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2500,
        rng_seed: prop::test_runner::RngSeed::Fixed(4),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn a_revoked_holder_never_holds_again(steps in prop::collection::vec(step(), 30..120)) {
        let mut world = World::new();
        for step in &steps {
            world.run(step);
            prop_assert!(!(world.revoked && world.lease.is_valid(world.now)), "after {step:?}");
        }
    }
}

/// The steps above do lead to leases that hold and to takeovers, or the property would be empty.
#[test]
fn the_model_reaches_leases_and_takeovers() {
    use proptest::strategy::ValueTree;
    use proptest::test_runner::TestRunner;

    let mut runner = TestRunner::deterministic();
    let mut reached = BTreeMap::from([("held", 0), ("revoked", 0), ("both", 0)]);
    for _ in 0..300 {
        let steps = prop::collection::vec(step(), 30..120);
        let steps = steps.new_tree(&mut runner).unwrap().current();
        let mut world = World::new();
        steps.iter().for_each(|s| world.run(s));
        *reached.get_mut("held").unwrap() += u32::from(world.held);
        *reached.get_mut("revoked").unwrap() += u32::from(world.revoked);
        *reached.get_mut("both").unwrap() += u32::from(world.revoked && world.held);
    }
    println!("{reached:?}");
    assert!(reached.values().all(|n| *n >= 10), "{reached:?}");
}

const FROZEN: IncarnationId = IncarnationId(7);

fn at(millis: u64) -> Moment {
    Moment::from_micros(millis * 1000)
}

/// A witness that has acknowledged a holder at 100 ms, and whether its table names the holder.
fn witness_of_one() -> (Witness, impl Fn(&mut Witness, bool, u64)) {
    let follow = |witness: &mut Witness, listed: bool, millis: u64| {
        let members: BTreeSet<IncarnationId> = listed.then_some(FROZEN).into_iter().collect();
        witness.update_members(&members, &members, at(millis));
    };
    let mut witness = Witness::new(IncarnationId(1), at(0));
    follow(&mut witness, true, 0);
    witness.handle_renewal(FROZEN, Seq(1), Offset(0), at(100));
    (witness, follow)
}

/// Milliseconds for which the acknowledgement still binds, as a promise at `millis` says.
fn remaining(witness: &mut Witness, millis: u64) -> u32 {
    let promise = witness.handle_promise_request(
        FROZEN,
        Version(0),
        IncarnationId(1),
        Role::Listed,
        at(millis),
    );
    let Some(Message::Promise { remaining_ms: remaining, .. }) = promise else {
        panic!("{promise:?}")
    };
    remaining
}

/// A holder is frozen, its keys are taken over and its record is dropped; it writes the record once more.
#[test]
fn a_promise_outlives_the_record_of_its_holder() {
    let (mut witness, follow) = witness_of_one();
    assert_eq!(remaining(&mut witness, 1000), 300, "it binds until 1,300 ms");
    follow(&mut witness, false, 1400);
    follow(&mut witness, true, 1500);
    let answer = witness.handle_renewal(FROZEN, Seq(2), Offset(0), at(1600));
    assert!(matches!(answer, Message::Refuse { .. }), "{answer:?}");
}

/// A record may be gone for a moment; what was acknowledged before binds all the same.
#[test]
fn an_acknowledgement_binds_though_the_record_was_gone_in_between() {
    let (mut witness, follow) = witness_of_one();
    follow(&mut witness, false, 150);
    follow(&mut witness, true, 200);
    assert_eq!(remaining(&mut witness, 1100), 200, "it binds until 1,300 ms");
}
