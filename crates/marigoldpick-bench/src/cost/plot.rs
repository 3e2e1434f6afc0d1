//! Draws the slopes as an SVG file with one small chart for each.

use plotters::prelude::{
    BLUE, ChartBuilder, Circle, EmptyElement, IntoDrawingArea, IntoFont, LineSeries, RED,
    SVGBackend, WHITE,
};
use plotters::series::PointSeries;

use super::slope::Slope;

/// The size of one chart, in pixels.
const CHART_PIXELS: (u32, u32) = (420, 300);
/// The number of charts in a row.
const COLUMNS: usize = 3;

/// Writes the charts to an SVG file.
pub(crate) fn write(file: &str, slopes: &[Slope]) -> Result<(), Box<dyn std::error::Error>> {
    let rows = slopes.len().div_ceil(COLUMNS).max(1);
    let width = CHART_PIXELS.0 * u32::try_from(COLUMNS)?;
    let height = CHART_PIXELS.1 * u32::try_from(rows)?;
    let root = SVGBackend::new(file, (width, height)).into_drawing_area();
    root.fill(&WHITE)?;
    for (area, slope) in root.split_evenly((rows, COLUMNS)).iter().zip(slopes) {
        let max_x = slope.points.iter().map(|p| p.x).fold(1.0, f64::max);
        let max_y = slope.points.iter().map(|p| p.y).fold(1.0, f64::max) * 1.1;
        let title = format!("{} [{}]", slope.name, slope.unit);
        let mut chart = ChartBuilder::on(area)
            .caption(title, ("sans-serif", 15).into_font())
            .margin(8)
            .x_label_area_size(28)
            .y_label_area_size(56)
            .build_cartesian_2d(0.0..max_x, 0.0..max_y)?;
        chart.configure_mesh().x_desc(slope.per).draw()?;
        let line = [0.0, max_x].map(|x| (x, slope.each.mul_add(x, slope.base)));
        chart.draw_series(LineSeries::new(line, BLUE))?;
        let points = slope.points.iter().map(|p| (p.x, p.y));
        chart.draw_series(PointSeries::of_element(
            points,
            3,
            RED,
            &|at, size, style| EmptyElement::at(at) + Circle::new((0, 0), size, style),
        ))?;
    }
    root.present()?;
    Ok(())
}
