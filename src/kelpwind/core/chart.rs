//! Finite state machines that are defined by the chart files in `charts/`.
//!
//! A chart lists its states and the edges between them, each with the event that triggers it. Code
//! only fires events; the chart file alone determines the next state. An event without an edge from
//! the current state is rejected, so new transitions must be added to the chart first.

use std::collections::BTreeMap;

use serde::Deserialize;

/// An invalid chart file, or an event that the current state does not accept.
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

/// A transition between two states.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Edge {
    /// State that the event must occur in.
    pub from: String,
    /// Event that triggers the transition.
    pub on: String,
    /// State after the transition.
    pub to: String,
}

/// A state chart as it stands in its TOML file.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Chart {
    /// Name of the chart, used in error messages.
    pub name: String,
    /// Initial state.
    pub start: String,
    /// Descriptions of the states, by name of the state.
    pub states: BTreeMap<String, String>,
    /// All transitions.
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

/// A state machine: a chart with a current state.
#[derive(Clone, Debug)]
pub struct Machine {
    chart: Chart,
    state: String,
}

impl Machine {
    /// Creates a machine in the chart's initial state.
    pub fn new(chart: Chart) -> Machine {
        let state = chart.start.clone();
        Machine { chart, state }
    }

    /// Name of the current state.
    pub fn state(&self) -> &str {
        &self.state
    }

    /// Applies the transition for `event`; returns the previous and the new state.
    ///
    /// # Errors
    /// [`ChartError::NoEdge`] if the current state has no transition for `event`; the state then
    /// stays as it is.
    pub fn fire(&mut self, event: &str) -> Result<(String, String)> {
        let edges = &self.chart.edge;
        let Some(edge) = edges.iter().find(|e| e.from == self.state && e.on == event) else {
            return Err(ChartError::NoEdge {
                chart: self.chart.name.clone(),
                state: self.state.clone(),
                event: event.to_owned(),
            });
        };
        let previous = std::mem::replace(&mut self.state, edge.to.clone());
        Ok((previous, self.state.clone()))
    }
}
