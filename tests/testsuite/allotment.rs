//! Quotas of tenants, on simulated nodes: what all nodes together let through in any 5 s, and what small
//! tenants lose.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use kelpwind::core::ids::{NodeId, RequestRate};
use kelpwind::core::tenants::{Quota, TenantName};
use kelpwind::route::allotment::{self, Allotments, Ask, Decision, Keeper, Reply};

/// Step of the simulated time.
const STEP: Duration = Duration::from_millis(10);
/// Time for which a request waits for its keeper.
const WAIT: Duration = Duration::from_millis(250);
/// Interval at which nodes look for asks that are due without being told.
const CHECK_STEPS: u64 = 5;
/// Window of the bound.
const WINDOW: f64 = 5.0;

enum Message {
    Ask(Ask),
    Reply(Reply),
}

struct Request {
    tenant: usize,
    until: Instant,
}

struct Node {
    name: NodeId,
    allotments: Allotments,
    keeper: Keeper,
    waiting: Vec<Request>,
    /// Members as the node sees them.
    view: Vec<usize>,
    alive: bool,
}

struct Tenant {
    name: TenantName,
    quota: Quota,
    /// Times in seconds at which its requests ran.
    runs: Vec<f64>,
    sent: u32,
    refused: u32,
}

struct Sim {
    rng: fastrand::Rng,
    began: Instant,
    step: u64,
    nodes: Vec<Node>,
    tenants: Vec<Tenant>,
    messages: BTreeMap<u64, Vec<(usize, usize, Message)>>,
    /// Groups of nodes that reach each other.
    groups: Vec<usize>,
    /// Ratio of datagrams that are lost.
    loss: f64,
    /// Sources and receivers between which no datagram arrives.
    cut: fn(usize, usize) -> bool,
    runs_run: u64,
    datagrams: u64,
}

fn quota(rate: f64, burst: f64) -> Quota {
    Quota { rate: RequestRate::try_from(rate).unwrap(), burst }
}

impl Sim {
    fn new(nodes: usize, quotas: &[Quota]) -> Sim {
        let tenant = |(i, quota): (usize, &Quota)| Tenant {
            name: format!("tenant-{i}").parse().unwrap(),
            quota: *quota,
            runs: Vec::new(),
            sent: 0,
            refused: 0,
        };
        let mut sim = Sim {
            rng: fastrand::Rng::with_seed(7),
            began: Instant::now(),
            step: 0,
            nodes: Vec::new(),
            tenants: quotas.iter().enumerate().map(tenant).collect(),
            messages: BTreeMap::new(),
            groups: vec![0; nodes],
            loss: 0.0,
            cut: |_, _| false,
            runs_run: 0,
            datagrams: 0,
        };
        for i in 0..nodes {
            let name: NodeId = format!("node-{i}").parse().unwrap();
            sim.nodes.push(Node {
                allotments: Allotments::new(name.clone(), i as u64),
                name,
                keeper: Keeper::default(),
                waiting: Vec::new(),
                view: (0..nodes).collect(),
                alive: true,
            });
        }
        sim
    }

    fn now(&self) -> Instant {
        self.began + STEP * self.step as u32
    }

    /// The node that is the first keeper of a tenant.
    fn keeper(&self, tenant: usize) -> usize {
        let slot = allotment::slot(&self.tenants[tenant].name);
        let first = allotment::keepers(slot, self.nodes.iter().map(|n| &n.name))[0].clone();
        self.nodes.iter().position(|n| n.name == first).unwrap()
    }

    /// Replaces a node by a new process of the same name.
    fn restart(&mut self, node: usize) {
        self.runs_run += 1000;
        let run = self.runs_run + node as u64;
        let node = &mut self.nodes[node];
        node.allotments = Allotments::new(node.name.clone(), run);
        node.keeper = Keeper::default();
        node.waiting.clear();
        node.alive = true;
    }

    /// Runs for some time. `load` is called in each step with the time in seconds, and returns the requests
    /// as pairs of node and tenant.
    fn run(
        &mut self,
        secs: f64,
        mut load: impl FnMut(&mut fastrand::Rng, f64) -> Vec<(usize, usize)>,
    ) {
        let end = self.step + (secs / STEP.as_secs_f64()) as u64;
        while self.step < end {
            self.step += 1;
            let at = self.step as f64 * STEP.as_secs_f64();
            for (from, to, message) in self.messages.remove(&self.step).unwrap_or_default() {
                self.deliver(from, to, message);
            }
            let mut rng = self.rng.fork();
            for (node, tenant) in load(&mut rng, at) {
                if self.nodes[node].alive {
                    self.tenants[tenant].sent += 1;
                    self.request(node, tenant, None, at);
                }
            }
            for node in 0..self.nodes.len() {
                if self.nodes[node].alive {
                    self.work(node, at);
                }
            }
        }
    }

    fn request(&mut self, node: usize, tenant: usize, former: Option<Request>, at: f64) {
        let (now, draw) = (self.now(), self.rng.f64());
        let (host, of) = (&mut self.nodes[node], &mut self.tenants[tenant]);
        let decision = host.allotments.take(&of.name, &of.quota, draw, former.is_none(), now);
        let waited = former.is_some();
        let request = former.unwrap_or(Request { tenant, until: now + WAIT });
        let late = now >= request.until;
        match decision {
            Decision::Run => of.runs.push(at),
            Decision::Wait if !late => {
                if !waited {
                    host.allotments.set_waiting(&of.name, true, now);
                }
                host.waiting.push(request);
                return;
            }
            Decision::Wait | Decision::Refuse(_) => of.refused += 1,
        }
        if waited {
            host.allotments.set_waiting(&of.name, false, now);
        }
    }

    fn work(&mut self, node: usize, at: f64) {
        let now = self.now();
        for request in std::mem::take(&mut self.nodes[node].waiting) {
            self.request(node, request.tenant, Some(request), at);
        }
        let quotas: Vec<(TenantName, Quota)> =
            self.tenants.iter().map(|t| (t.name.clone(), t.quota)).collect();
        let names: Vec<NodeId> =
            self.nodes[node].view.iter().map(|i| self.nodes[*i].name.clone()).collect();
        let checked = (self.step + node as u64).is_multiple_of(CHECK_STEPS);
        let host = &mut self.nodes[node];
        if (self.step + node as u64).is_multiple_of(20) {
            host.allotments.set_members(&names, names.len(), true, now);
            let quotas = quotas.iter().map(|(name, quota)| (name, *quota));
            host.keeper.update(names.len(), |n| names.contains(n), quotas, now);
        }
        if !checked && host.waiting.is_empty() {
            return;
        }
        for (to, ask) in host.allotments.due_asks(now) {
            let to = self.nodes.iter().position(|n| n.name == to).unwrap();
            self.send(node, to, Message::Ask(ask));
        }
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        if from == to {
            return self.deliver(from, to, message);
        }
        self.datagrams += 1;
        let lost = self.groups[from] != self.groups[to] || (self.cut)(from, to);
        if !lost && self.rng.f64() >= self.loss {
            let at = self.step + self.rng.u64(1..4);
            self.messages.entry(at).or_default().push((from, to, message));
        }
    }

    fn deliver(&mut self, from: usize, to: usize, message: Message) {
        let now = self.now();
        if !self.nodes[to].alive {
            return;
        }
        match message {
            Message::Ask(ask) => {
                let quota = |name: &TenantName| {
                    self.tenants.iter().find(|t| t.name == *name).map(|t| t.quota)
                };
                let host = &mut self.nodes[to];
                let members = host.view.len();
                let reply = host.keeper.answer(&host.name, &ask, members, quota, now);
                if let Some(reply) = reply {
                    self.send(to, from, Message::Reply(reply));
                }
            }
            Message::Reply(reply) => self.nodes[to].allotments.receive(reply, now),
        }
    }

    /// The largest ratio of what ran in 5 s to what may run, over all tenants.
    fn assert_bound(&self, case: &str) -> f64 {
        let mut worst: f64 = 0.0;
        for tenant in &self.tenants {
            let rate = tenant.quota.rate.per_second();
            let bound = (rate * WINDOW + tenant.quota.burst) * 1.1 + 20.0;
            let mut window = VecDeque::new();
            for at in &tenant.runs {
                window.push_back(*at);
                while window.front().is_some_and(|first| at - first > WINDOW) {
                    window.pop_front();
                }
                let ratio = window.len() as f64 / bound;
                worst = worst.max(ratio);
                assert!(
                    ratio <= 1.0,
                    "{case}: {} ran {} until {at}, bound {bound}",
                    tenant.name,
                    window.len()
                );
            }
        }
        worst
    }

    /// Ratio of a tenant's requests that were refused.
    fn refused(&self, tenant: usize) -> f64 {
        f64::from(self.tenants[tenant].refused) / f64::from(self.tenants[tenant].sent.max(1))
    }

    fn reset_counts(&mut self) {
        for tenant in &mut self.tenants {
            (tenant.sent, tenant.refused) = (0, 0);
        }
    }
}

/// Requests per step of a rate, at drawn nodes.
fn poisson(rng: &mut fastrand::Rng, rate: f64, nodes: usize, tenant: usize) -> Vec<(usize, usize)> {
    // The gaps between arrivals are distributed exponentially.
    let mut left = rate * STEP.as_secs_f64();
    let mut requests = Vec::new();
    loop {
        left += rng.f64().max(f64::MIN_POSITIVE).ln();
        if left < 0.0 {
            return requests;
        }
        requests.push((rng.usize(..nodes), tenant));
    }
}

/// Quotas of 79 tenants: a few large ones, and small ones with 10 requests per second.
fn quotas() -> Vec<Quota> {
    (0..79).map(|i| if i < 4 { quota(150.0, 100.0) } else { quota(10.0, 10.0) }).collect()
}

// Guards against a quota that is divided badly: equal shares would refuse most of these requests.
#[test]
fn small_tenants_beside_a_hot_one_lose_nothing() {
    let mut sim = Sim::new(74, &quotas());
    sim.run(10.0, |_, _| Vec::new());
    let load = |rng: &mut fastrand::Rng, _| {
        let mut all = poisson(rng, 1500.0, 74, 0);
        for tenant in 1..79 {
            let rate = if tenant < 4 { 120.0 } else { 6.0 };
            all.extend(poisson(rng, rate, 74, tenant));
        }
        all
    };
    let before = sim.datagrams;
    sim.run(20.0, load);
    let worst = (1..79).map(|t| sim.refused(t)).fold(0.0, f64::max);
    let ran = sim.tenants[0].runs.len() as f64 / 20.0;
    let ratio = sim.assert_bound("hot");
    let sent = (sim.datagrams - before) as f64 / 20.0 / 74.0;
    println!(
        "worst loss {worst:.4}, hot ran {ran:.0}/s, bound {ratio:.2}, {sent:.0} datagrams/s per node"
    );
    assert!(worst <= 0.01, "a tenant within its quota lost {worst}");
    assert!(ran >= 150.0 * 0.9, "the hot tenant got {ran} of 150 per second");
}

/// Every tenant sends far more than it may, from all nodes.
fn flood(rng: &mut fastrand::Rng, tenants: usize, nodes: usize) -> Vec<(usize, usize)> {
    (0..tenants).flat_map(|t| poisson(rng, 400.0, nodes, t)).collect()
}

fn flood_quotas() -> Vec<Quota> {
    vec![quota(100.0, 50.0), quota(5.0, 5.0), quota(1.0, 0.0), quota(40.0, 200.0), quota(20.0, 0.0)]
}

// Guards against nodes that are cut off and spend, together with the others, more than the quota.
#[test]
fn partitions_keep_the_bound() {
    for parts in [2, 25, 74] {
        let mut sim = Sim::new(74, &flood_quotas());
        sim.run(12.0, |_, _| Vec::new());
        sim.run(6.0, |rng, _| flood(rng, 5, 74));
        sim.groups = (0..74).map(|i| i % parts).collect();
        sim.run(15.0, |rng, _| flood(rng, 5, 74));
        sim.groups = vec![0; 74];
        sim.run(12.0, |rng, _| flood(rng, 5, 74));
        let ratio = sim.assert_bound(&format!("{parts} parts"));
        println!("{parts} parts: {ratio:.2} of the bound");
    }
}

// Guards against bursts that are saved up by nodes that are cut off and idle, and spent at once.
#[test]
fn idle_nodes_that_are_cut_off_save_no_burst() {
    for parts in [2, 74] {
        let mut sim = Sim::new(74, &flood_quotas());
        sim.run(10.0, |_, _| Vec::new());
        sim.groups = (0..74).map(|i| i % parts).collect();
        sim.run(40.0, |_, _| Vec::new());
        sim.run(6.0, |rng, _| flood(rng, 5, 74));
        sim.groups = vec![0; 74];
        sim.run(6.0, |rng, _| flood(rng, 5, 74));
        let ratio = sim.assert_bound(&format!("{parts} parts"));
        println!("{parts} idle parts: {ratio:.2} of the bound");
    }
}

// Guards against a keeper that counts a node which does not hear it and spends its own share.
#[test]
fn one_way_loss_and_lost_datagrams_keep_the_bound() {
    let mut sim = Sim::new(30, &flood_quotas());
    sim.run(10.0, |_, _| Vec::new());
    sim.cut = |from, to| from % 2 == 0 && to % 2 == 1;
    sim.run(15.0, |rng, _| flood(rng, 5, 30));
    sim.cut = |_, _| false;
    sim.loss = 0.3;
    sim.run(15.0, |rng, _| flood(rng, 5, 30));
    println!("one way: {:.2} of the bound", sim.assert_bound("one way"));
}

// Guards against a lost keeper that takes its tenants' quota with it, or gives it out twice.
#[test]
fn a_lost_keeper_is_replaced() {
    let mut sim = Sim::new(20, &flood_quotas());
    sim.run(12.0, |_, _| Vec::new());
    sim.run(6.0, |rng, _| flood(rng, 5, 20));
    let keeper = sim.keeper(0);
    sim.nodes[keeper].alive = false;
    sim.run(6.0, |rng, _| flood(rng, 5, 20));
    let before = sim.tenants[0].runs.len();
    sim.run(10.0, |rng, _| flood(rng, 5, 20));
    let ran = (sim.tenants[0].runs.len() - before) as f64 / 10.0;
    sim.restart(keeper);
    sim.run(15.0, |rng, _| flood(rng, 5, 20));
    println!("lost keeper: {ran:.0}/s, {:.2} of the bound", sim.assert_bound("lost keeper"));
    // The share of the lost node stays reserved for as long as it is a member.
    assert!(ran >= 100.0 * 0.9, "{ran} of 100 per second without the first keeper");
}

// Guards against a small tenant that is refused for long after its keeper was lost.
#[test]
fn small_tenants_are_served_again_after_the_loss_of_their_keeper() {
    let mut sim = Sim::new(74, &[quota(10.0, 10.0)]);
    sim.run(12.0, |_, _| Vec::new());
    let keeper = sim.keeper(0);
    sim.nodes[keeper].alive = false;
    let load = |rng: &mut fastrand::Rng, _| poisson(rng, 5.0, 74, 0);
    sim.run(4.0, load);
    sim.reset_counts();
    sim.run(20.0, load);
    let refused = sim.refused(0);
    println!("after the loss of the keeper: {refused:.3} refused");
    assert!(refused <= 0.1, "{refused} of the requests were refused");
}

// Guards against two keepers that both grant all while views differ.
#[test]
fn membership_views_that_differ_keep_the_bound() {
    let mut sim = Sim::new(40, &flood_quotas());
    sim.run(12.0, |_, _| Vec::new());
    let keepers: Vec<usize> = (0..5).map(|t| sim.keeper(t)).collect();
    sim.run(6.0, |rng, _| flood(rng, 5, 40));
    for node in 20..40 {
        sim.nodes[node].view.retain(|i| !keepers.contains(i));
    }
    sim.run(10.0, |rng, _| flood(rng, 5, 40));
    for node in 0..20 {
        sim.nodes[node].view.retain(|i| !keepers.contains(i));
    }
    sim.run(10.0, |rng, _| flood(rng, 5, 40));
    for node in 0..40 {
        sim.nodes[node].view = (0..40).collect();
    }
    sim.run(10.0, |rng, _| flood(rng, 5, 40));
    println!("views: {:.2} of the bound", sim.assert_bound("views"));
}

// Guards against restarts that bring a new burst each.
#[test]
fn restarts_bring_no_burst() {
    let mut sim = Sim::new(20, &flood_quotas());
    sim.run(12.0, |_, _| Vec::new());
    for round in 0..30 {
        sim.run(1.0, |rng, _| flood(rng, 5, 20));
        let keeper = sim.keeper(round % 5);
        sim.restart(keeper);
        sim.restart(round % 20);
    }
    println!("restarts: {:.2} of the bound", sim.assert_bound("restarts"));
}

// Guards against a lowered limit that lets the tokens of the former one through.
#[test]
fn a_lowered_limit_holds_one_window_later() {
    let mut sim = Sim::new(20, &[quota(200.0, 500.0)]);
    sim.run(12.0, |_, _| Vec::new());
    sim.tenants[0].quota = quota(10.0, 5.0);
    sim.run(5.0, |rng, _| flood(rng, 1, 20));
    sim.tenants[0].runs.clear();
    sim.run(10.0, |rng, _| flood(rng, 1, 20));
    let ran = sim.tenants[0].runs.len() as f64 / 10.0;
    sim.assert_bound("lowered");
    assert!(ran >= 9.0, "{ran} of 10 per second");
}

// Guards against a keeper that has just taken over and grants the burst that the former one has granted.
#[test]
fn a_new_keeper_grants_no_burst() {
    for (idle, most, least) in [(4.0, 120, 30), (12.0, 320, 200)] {
        let mut sim = Sim::new(5, &[quota(100.0, 200.0)]);
        sim.run(idle, |_, _| Vec::new());
        sim.run(0.3, |_, _| vec![(1, 0); 40]);
        let ran = sim.tenants[0].runs.len();
        assert!((least..=most).contains(&ran), "{ran} ran after {idle} s");
    }
}

// Guards against small tenants that lose a part of their quota for as long as lost nodes are members.
#[test]
fn lost_nodes_take_no_quota_from_small_tenants() {
    let quotas = [quota(10.0, 10.0), quota(5.0, 5.0), quota(10.0, 10.0), quota(5.0, 5.0)];
    let mut sim = Sim::new(72, &quotas);
    sim.run(12.0, |_, _| Vec::new());
    let keepers: Vec<usize> = (0..4).map(|t| sim.keeper(t)).collect();
    for node in (0..72).filter(|n| n % 6 == 0 && !keepers.contains(n)) {
        sim.nodes[node].alive = false;
    }
    let load = |rng: &mut fastrand::Rng, _| {
        let mut all = poisson(rng, 10.0, 72, 0);
        all.extend(poisson(rng, 5.0, 72, 1));
        all.extend(poisson(rng, 400.0, 72, 2));
        all.extend(poisson(rng, 400.0, 72, 3));
        all.retain(|(node, _)| node % 6 != 0);
        all
    };
    sim.run(10.0, load);
    sim.reset_counts();
    sim.tenants.iter_mut().for_each(|tenant| tenant.runs.clear());
    sim.run(40.0, load);
    let refused = [sim.refused(0), sim.refused(1)];
    let ran = [2, 3].map(|t| sim.tenants[t].runs.len() as f64 / 40.0 / quotas[t].rate.per_second());
    println!(
        "a sixth lost: {refused:.3?} refused at 83% of the quota, at most {ran:.3?} of it ran"
    );
    sim.assert_bound("a sixth lost");
    assert!(refused.iter().all(|r| *r <= 0.02), "{refused:?} refused");
    assert!(ran.iter().all(|r| *r >= 0.95), "only {ran:?} of the quota ran");
}
