//! Comparison of admission, target selection and retry policies on the load patterns for which the
//! program's policies are designed, in a simulation of a service ([`super::model`]).

use super::model::{self, Admission, Outcome, Pattern, Policy, Selection};
use super::plot::{self, Line};
use super::proc::{format_short, quantile};
use super::write::Report;

const SEEDS: std::ops::Range<u64> = 1..6;

const PATTERNS: [Pattern; 6] = [
    Pattern { name: "quiet", load: |_| 0.7, slowed: 0.0, impatient: 0.0 },
    Pattern { name: "burst", load: burst, slowed: 0.2, impatient: 0.0 },
    Pattern { name: "overload", load: |_| 1.4, slowed: 0.0, impatient: 0.0 },
    Pattern { name: "neighbours", load: |_| 0.6, slowed: 0.2, impatient: 0.0 },
    Pattern { name: "impatient callers", load: |_| 1.1, slowed: 0.0, impatient: 0.5 },
    // Modelled as a rise of the load: the number of targets stays the same.
    Pattern {
        name: "a third is lost",
        load: |t| if t < 4.0 { 0.65 } else { 0.95 },
        slowed: 0.1,
        impatient: 0.1,
    },
];

const POLICIES: [Policy; 7] = [
    policy("FIFO, random", Admission::Unbounded, Selection::Random, true),
    policy("FIFO, fewest own", Admission::Unbounded, Selection::LeastOwn, true),
    policy("bounded FIFO, fewest own", Admission::Bounded, Selection::LeastOwn, true),
    policy(
        "FIFO within deadline, fewest own",
        Admission::WithinDeadline,
        Selection::LeastOwn,
        true,
    ),
    policy("admission queue, random", Admission::Queue, Selection::Random, true),
    policy(
        "admission queue, least cost, immediate retry",
        Admission::Queue,
        Selection::LeastCost,
        false,
    ),
    policy("admission queue, least cost (kelpwind)", Admission::Queue, Selection::LeastCost, true),
];

const fn policy(
    name: &'static str,
    admission: Admission,
    selection: Selection,
    retry_hint: bool,
) -> Policy {
    Policy { name, admission, selection, retry_hint }
}

fn burst(time: f64) -> f64 {
    if (4.0..8.0).contains(&time) { 1.7 } else { 0.6 }
}

pub(crate) fn measure(report: &mut Report) {
    report.section(
        "Policies under adverse load",
        "A discrete-event simulation with the program's own modules: 12 entries, 12 targets with 6 \
         slots and service time factors 0.7 to 1.6, mean service time 100 ms, latency objective \
         400 ms, deadline 2 s, a quarter of the requests with high priority, one retry per refused \
         caller. Loads are fractions of the capacity of all targets; noisy neighbours slow some \
         targets threefold, drawn every 0.4 s. Figures are per cent of all requests; `high \
         priority` is the percentage of high-priority requests on time, and `wasted` is work for \
         which no caller still waited, in per cent of all work. Seeds 1 to 5.",
    );
    for pattern in &PATTERNS {
        let outcomes: Vec<Outcome> = POLICIES.iter().map(|p| all_seeds(pattern, p)).collect();
        let rows: Vec<Vec<String>> =
            POLICIES.iter().zip(&outcomes).map(|(p, o)| row(pattern.name, p.name, o)).collect();
        let headings = [
            "load",
            "policy",
            "on time",
            "late",
            "refused",
            "expired",
            "high priority",
            "wasted",
            "p99 ms",
        ];
        report.table(&headings, &rows);
        let path = report.plot(&format!("policies-{}", pattern.name.replace(' ', "-")));
        let lines: Vec<Line> =
            POLICIES.iter().zip(&outcomes).map(|(p, o)| on_time_line(p.name, o)).collect();
        plot::draw_lines(&path, pattern.name, "seconds", "answers on time per second", &lines);
    }
}

fn all_seeds(pattern: &Pattern, policy: &Policy) -> Outcome {
    let mut sum = Outcome::default();
    for seed in SEEDS {
        let one = model::simulate(pattern, policy, seed);
        sum.requests += one.requests;
        sum.on_time += one.on_time;
        sum.late += one.late;
        sum.refused += one.refused;
        sum.expired += one.expired;
        sum.high_priority =
            (sum.high_priority.0 + one.high_priority.0, sum.high_priority.1 + one.high_priority.1);
        sum.work = (sum.work.0 + one.work.0, sum.work.1 + one.work.1);
        sum.latencies_s.extend(one.latencies_s);
        sum.on_time_rate.resize(one.on_time_rate.len(), 0.0);
        sum.on_time_rate.iter_mut().zip(&one.on_time_rate).for_each(|(all, one)| *all += one);
    }
    sum
}

fn row(pattern: &str, policy: &str, outcome: &Outcome) -> Vec<String> {
    let percent_of_requests = |count: f64| format_short(100.0 * count / outcome.requests);
    vec![
        pattern.to_owned(),
        policy.to_owned(),
        percent_of_requests(outcome.on_time),
        percent_of_requests(outcome.late),
        percent_of_requests(outcome.refused),
        percent_of_requests(outcome.expired),
        format_short(100.0 * outcome.high_priority.1 / outcome.high_priority.0),
        format_short(100.0 * outcome.work.1 / outcome.work.0),
        format_short(1000.0 * quantile(&outcome.latencies_s, 0.99)),
    ]
}

fn on_time_line(name: &str, outcome: &Outcome) -> Line {
    let seeds = SEEDS.count() as f64;
    let points = outcome.on_time_rate.iter().enumerate();
    let points = points.map(|(i, v)| (i as f64 / 2.0, v / seeds)).collect();
    Line { name: name.to_owned(), points }
}
