//! Policies side by side on the loads that the line, the choice of a target and the return of refused
//! callers answer, in a model of a service ([`super::model`]).

use super::model::{self, Admission, Choice, Outcome, Pattern, Policy};
use super::plot::{self, Line};
use super::proc::{quantile, short};
use super::write::Report;

const SEEDS: std::ops::Range<u64> = 1..6;

const PATTERNS: [Pattern; 6] = [
    Pattern { name: "quiet", load: |_| 0.7, slowed: 0.0, impatient: 0.0 },
    Pattern { name: "burst", load: burst, slowed: 0.2, impatient: 0.0 },
    Pattern { name: "overload", load: |_| 1.4, slowed: 0.0, impatient: 0.0 },
    Pattern { name: "neighbours", load: |_| 0.6, slowed: 0.2, impatient: 0.0 },
    Pattern { name: "impatient callers", load: |_| 1.1, slowed: 0.0, impatient: 0.5 },
    Pattern {
        name: "a third is lost",
        load: |t| if t < 4.0 { 0.65 } else { 0.95 },
        slowed: 0.1,
        impatient: 0.1,
    },
];

const POLICIES: [Policy; 7] = [
    policy("first come, random", Admission::All, Choice::Random, true),
    policy("first come, least own", Admission::All, Choice::LeastOwn, true),
    policy("bounded queue, least own", Admission::Bounded, Choice::LeastOwn, true),
    policy("within the limit, least own", Admission::Limit, Choice::LeastOwn, true),
    policy("line, random", Admission::Line, Choice::Random, true),
    policy("line, predicted, return at once", Admission::Line, Choice::Predicted, false),
    policy("line, predicted (kelpwind)", Admission::Line, Choice::Predicted, true),
];

const fn policy(name: &'static str, admission: Admission, choice: Choice, returns: bool) -> Policy {
    Policy { name, admission, choice, returns }
}

fn burst(time: f64) -> f64 {
    if (4.0..8.0).contains(&time) { 1.7 } else { 0.6 }
}

pub(crate) fn measure(report: &mut Report) {
    report.part(
        "Policies at their worst load",
        "A model in virtual time with the program's own modules: 12 entries, 12 targets of 6 slots and of \
         speeds 0.7 to 1.6, requests of 100 ms on average, latency objective 400 ms, limit 2 s, a \
         quarter of the greater rank, refused callers come back once. Loads in parts of what the \
         targets bear; neighbours slow a part of the targets threefold, drawn each 0.4 s. In per cent \
         of the requests asked; `vain` is work that nobody waited for any more, in per cent of all work. \
         Seeds 1 to 5.",
    );
    for pattern in &PATTERNS {
        let outcomes: Vec<Outcome> = POLICIES.iter().map(|p| all_seeds(pattern, p)).collect();
        let rows: Vec<Vec<String>> =
            POLICIES.iter().zip(&outcomes).map(|(p, o)| row(pattern.name, p.name, o)).collect();
        let head =
            ["load", "policy", "timely", "late", "refused", "expired", "greater", "vain", "p99 ms"];
        report.table(&head, &rows);
        let path = report.plot(&format!("policies-{}", pattern.name.replace(' ', "-")));
        let lines: Vec<Line> =
            POLICIES.iter().zip(&outcomes).map(|(p, o)| by_time(p.name, o)).collect();
        plot::lines(&path, pattern.name, "seconds", "timely answers a second", &lines);
    }
}

fn all_seeds(pattern: &Pattern, policy: &Policy) -> Outcome {
    let mut sum = Outcome::default();
    for seed in SEEDS {
        let one = model::play(pattern, policy, seed);
        sum.asked += one.asked;
        sum.timely += one.timely;
        sum.late += one.late;
        sum.refused += one.refused;
        sum.expired += one.expired;
        sum.greater = (sum.greater.0 + one.greater.0, sum.greater.1 + one.greater.1);
        sum.work = (sum.work.0 + one.work.0, sum.work.1 + one.work.1);
        sum.times.extend(one.times);
        sum.by_time.resize(one.by_time.len(), 0.0);
        sum.by_time.iter_mut().zip(&one.by_time).for_each(|(all, one)| *all += one);
    }
    sum
}

fn row(pattern: &str, policy: &str, outcome: &Outcome) -> Vec<String> {
    let of_asked = |part: f64| short(100.0 * part / outcome.asked);
    vec![
        pattern.to_owned(),
        policy.to_owned(),
        of_asked(outcome.timely),
        of_asked(outcome.late),
        of_asked(outcome.refused),
        of_asked(outcome.expired),
        short(100.0 * outcome.greater.1 / outcome.greater.0),
        short(100.0 * outcome.work.1 / outcome.work.0),
        short(1000.0 * quantile(&outcome.times, 0.99)),
    ]
}

fn by_time(name: &str, outcome: &Outcome) -> Line {
    let seeds = SEEDS.count() as f64;
    let points = outcome.by_time.iter().enumerate();
    let points = points.map(|(i, v)| (i as f64 / 2.0, v / seeds)).collect();
    Line { name: name.to_owned(), points }
}
