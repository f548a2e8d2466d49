//! Line plots as SVG files in `target/bench`.

use std::path::Path;

use plotters::prelude::*;

/// Directory of the summary and the plots, relative to the working directory.
pub const OUTPUT_DIR: &str = "target/bench";

/// Name in the legend and points.
type Curve = (&'static str, Vec<(f64, f64)>);

/// Writes a line plot to `file` in [`OUTPUT_DIR`]; an error is printed and otherwise ignored.
pub fn write_lines(file: &str, title: &str, axes: (&str, &str), curves: &[Curve]) {
    let path = Path::new(OUTPUT_DIR).join(file);
    let result = std::fs::create_dir_all(OUTPUT_DIR)
        .map_err(|e| e.to_string())
        .and_then(|()| draw_chart(&path, title, axes, curves).map_err(|e| e.to_string()));
    if let Err(e) = result {
        eprintln!("bench: plot {} was not written: {e}", path.display());
    }
}

fn draw_chart(
    path: &Path,
    title: &str,
    (x_axis, y_axis): (&str, &str),
    curves: &[Curve],
) -> Result<(), Box<dyn std::error::Error>> {
    let points = || curves.iter().flat_map(|(_, points)| points);
    let x_min = points().map(|p| p.0).fold(f64::MAX, f64::min);
    let x_max = points().map(|p| p.0).fold(f64::MIN, f64::max);
    let y_max = points().map(|p| p.1).fold(f64::MIN, f64::max);
    let root = SVGBackend::new(path, (800, 480)).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(48)
        .build_cartesian_2d(x_min..x_max, 0.0..y_max * 1.05)?;
    chart.configure_mesh().x_desc(x_axis).y_desc(y_axis).draw()?;
    for (i, (name, points)) in curves.iter().enumerate() {
        let colour = Palette99::pick(i).to_rgba();
        chart
            .draw_series(LineSeries::new(points.iter().copied(), colour.stroke_width(2)))?
            .label(*name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour));
    }
    chart.configure_series_labels().background_style(WHITE).border_style(BLACK).draw()?;
    root.present()?;
    Ok(())
}
