//! Plots of control cost against size.

use std::path::Path;

use plotters::prelude::*;

use super::LineFit;

/// Size of a plot in pixels.
const PLOT_SIZE: (u32, u32) = (560, 360);

/// Draws points and their fitted line.
///
/// # Errors
///
/// Returns what could not be drawn or written.
pub(super) fn draw_plot(
    path: &Path,
    axis: &str,
    column: &str,
    points: &[(f64, f64)],
    fit: &LineFit,
) -> Result<(), Box<dyn std::error::Error>> {
    let most_x = points.iter().fold(1.0_f64, |most, point| most.max(point.0)) * 1.1;
    let most_y = points.iter().fold(1.0_f64, |most, point| most.max(point.1)) * 1.2;
    let root = SVGBackend::new(path, PLOT_SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..most_x, 0.0..most_y)?;
    chart.configure_mesh().x_desc(axis).y_desc(column).draw()?;
    chart.draw_series(LineSeries::new(
        [(0.0, fit.at(0.0)), (most_x, fit.at(most_x))],
        &BLUE,
    ))?;
    let dots = points
        .iter()
        .map(|point| Circle::new(*point, 4, RED.filled()));
    chart.draw_series(dots)?;
    root.present()?;
    Ok(())
}
