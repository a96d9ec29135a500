//! State charts, read from the files in `charts/` and interpreted.
//!
//! A chart lists its states and the edges between them, each with the event that takes it. Code
//! fires events; which state follows stands in the file alone. An event without an edge from the
//! current state is refused, so a change of behaviour begins with a change of the chart.

use std::collections::BTreeMap;

use serde::Deserialize;

/// A fault of a chart file, or an event that has no edge.
#[derive(Clone, Debug, PartialEq, Eq, displaydoc::Display)]
pub enum ChartError {
    /// the chart cannot be read: {0}
    Unreadable(String),
    /// chart '{chart}' names the unknown state '{state}'
    UnknownState {
        /// The chart.
        chart: String,
        /// The state.
        state: String,
    },
    /// chart '{chart}' has no edge for '{event}' from '{state}'
    NoEdge {
        /// The chart.
        chart: String,
        /// The current state.
        state: String,
        /// The event.
        event: String,
    },
}

impl std::error::Error for ChartError {}

/// Result of reading a chart or firing an event.
pub type Result<T> = std::result::Result<T, ChartError>;

/// An edge of a chart.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Edge {
    /// State it leaves.
    pub from: String,
    /// Event that takes it.
    pub on: String,
    /// State it leads to.
    pub to: String,
}

/// A state chart.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Chart {
    /// Its name.
    pub name: String,
    /// The state it begins in.
    pub start: String,
    /// What each state means.
    pub states: BTreeMap<String, String>,
    /// The edges.
    pub edge: Vec<Edge>,
}

impl TryFrom<&str> for Chart {
    type Error = ChartError;

    fn try_from(text: &str) -> Result<Chart> {
        let chart: Chart =
            toml::from_str(text).map_err(|e| ChartError::Unreadable(e.to_string()))?;
        let ends = chart.edge.iter().flat_map(|e| [&e.from, &e.to]);
        let unknown = ends.chain([&chart.start]).find(|s| !chart.states.contains_key(*s));
        if let Some(state) = unknown {
            let state = state.clone();
            return Err(ChartError::UnknownState { chart: chart.name, state });
        }
        Ok(chart)
    }
}

/// A chart in one of its states.
#[derive(Clone, Debug)]
pub struct Machine {
    chart: Chart,
    state: String,
}

impl Machine {
    /// The chart in its first state.
    pub fn new(chart: Chart) -> Machine {
        let state = chart.start.clone();
        Machine { chart, state }
    }

    /// The current state's name.
    pub fn state(&self) -> &str {
        &self.state
    }

    /// Takes the edge for `event`; the state that was left and the one reached.
    pub fn fire(&mut self, event: &str) -> Result<(String, String)> {
        let edges = &self.chart.edge;
        let Some(edge) = edges.iter().find(|e| e.from == self.state && e.on == event) else {
            return Err(ChartError::NoEdge {
                chart: self.chart.name.clone(),
                state: self.state.clone(),
                event: event.to_owned(),
            });
        };
        let left = std::mem::replace(&mut self.state, edge.to.clone());
        Ok((left, self.state.clone()))
    }
}
