//! Line plots as SVG files.

use std::path::Path;

use plotters::prelude::*;

/// A line of a plot, with its name in the legend.
pub(crate) struct Line {
    pub(crate) name: String,
    pub(crate) points: Vec<(f64, f64)>,
}

/// Draws lines into a file, with both axes starting at zero.
pub(crate) fn draw_lines(path: &Path, title: &str, x: &str, y: &str, all: &[Line]) {
    let points = || all.iter().flat_map(|l| &l.points);
    let max_x = points().map(|p| p.0).fold(0.0, f64::max).max(1e-9);
    let max_y = points().map(|p| p.1).fold(0.0, f64::max).max(1e-9);
    let area = SVGBackend::new(path, (900, 480)).into_drawing_area();
    let drawn = (|| {
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .caption(title, ("sans-serif", 20))
            .margin(12)
            .x_label_area_size(40)
            .y_label_area_size(60)
            .build_cartesian_2d(0.0..max_x, 0.0..max_y * 1.05)?;
        chart.configure_mesh().x_desc(x).y_desc(y).draw()?;
        for (i, line) in all.iter().enumerate() {
            let color = Palette99::pick(i).to_rgba();
            let series = LineSeries::new(line.points.iter().copied(), color.stroke_width(2));
            chart.draw_series(series)?.label(&line.name).legend(move |(x, y)| {
                PathElement::new(vec![(x, y), (x + 20, y)], color.stroke_width(2))
            });
        }
        chart.configure_series_labels().background_style(WHITE).border_style(BLACK).draw()?;
        area.present()
    })();
    drawn.expect("the plot can be drawn");
}

/// Cumulative distribution of values in per cent, as a line.
pub(crate) fn distribution(name: &str, values: &[f64]) -> Line {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let percent = |i: usize| 100.0 * (i + 1) as f64 / sorted.len().max(1) as f64;
    let points = sorted.iter().enumerate().map(|(i, v)| (*v, percent(i))).collect();
    Line { name: name.to_owned(), points }
}
