//! Registers metrics with a Prometheus registry.

use prometheus::Registry;

/// Registers the result of a metric's constructor and returns the metric.
///
/// # Panics
/// If the metric's name or labels are invalid, or it is already registered.
pub(crate) fn register<T>(registry: &Registry, metric: prometheus::Result<T>) -> T
where
    T: prometheus::core::Collector + Clone + 'static,
{
    let metric = metric.expect("metric names and labels are constants that prometheus accepts");
    registry.register(Box::new(metric.clone())).expect("every metric is registered once");
    metric
}
