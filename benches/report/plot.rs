//! Plots as SVG.

use std::path::Path;

use plotters::prelude::*;

/// A named line of points.
pub(crate) struct Line {
    pub(crate) name: String,
    pub(crate) points: Vec<(f64, f64)>,
}

/// Draws lines with axes from zero.
pub(crate) fn lines(path: &Path, title: &str, x: &str, y: &str, all: &[Line]) {
    let points = || all.iter().flat_map(|l| &l.points);
    let most_x = points().map(|p| p.0).fold(0.0, f64::max).max(1e-9);
    let most_y = points().map(|p| p.1).fold(0.0, f64::max).max(1e-9);
    let area = SVGBackend::new(path, (900, 480)).into_drawing_area();
    let drawn = (|| {
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .caption(title, ("sans-serif", 20))
            .margin(12)
            .x_label_area_size(40)
            .y_label_area_size(60)
            .build_cartesian_2d(0.0..most_x, 0.0..most_y * 1.05)?;
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

/// The distribution of values as a line from 0 to 100 per cent.
pub(crate) fn distribution(name: &str, values: &[f64]) -> Line {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let part = |i: usize| 100.0 * (i + 1) as f64 / sorted.len().max(1) as f64;
    let points = sorted.iter().enumerate().map(|(i, v)| (*v, part(i))).collect();
    Line { name: name.to_owned(), points }
}
