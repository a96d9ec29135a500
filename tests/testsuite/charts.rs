//! State charts: charts are validated, every state is reachable, and only the chart's transitions
//! are possible.

use std::collections::BTreeSet;

use kelpwind::core::chart::{Chart, ChartError, Machine};
use kelpwind::node::life;

fn chart() -> Chart {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/charts/node.toml");
    Chart::try_from(std::fs::read_to_string(path).unwrap().as_str()).unwrap()
}

#[test]
fn every_state_and_edge_of_the_node_chart_is_reachable() {
    let chart = chart();
    let mut reached = BTreeSet::from([chart.start.clone()]);
    let mut taken = BTreeSet::new();
    let mut pending = vec![Machine::new(chart.clone())];
    while let Some(machine) = pending.pop() {
        for edge in chart.edge.iter().filter(|e| e.from == machine.state()) {
            let mut next = machine.clone();
            let fired = next.fire(&edge.on).unwrap();
            assert_eq!(fired, (edge.from.clone(), edge.to.clone()));
            if taken.insert((edge.from.clone(), edge.on.clone())) {
                reached.insert(edge.to.clone());
                pending.push(next);
            }
        }
    }
    assert_eq!(reached, chart.states.keys().cloned().collect());
    assert_eq!(taken.len(), chart.edge.len());
}

#[test]
fn an_event_without_an_edge_is_rejected_and_keeps_the_state() {
    let mut machine = life().unwrap();
    let error = machine.fire("joined").unwrap_err();
    assert_eq!(error.to_string(), "chart 'node' has no edge for 'joined' from 'starting'");
    assert_eq!(machine.state(), "starting");
}

#[test]
fn a_chart_with_an_unknown_state_is_rejected() {
    let text = "name = 'c'\nstart = 'a'\nstates = { a = '' }\n\
                [[edge]]\nfrom = 'a'\non = 'x'\nto = 'b'";
    let state = "b".to_owned();
    let expected = ChartError::UnknownState { chart: "c".to_owned(), state };
    assert_eq!(Chart::try_from(text), Err(expected));
}
