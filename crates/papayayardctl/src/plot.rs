//! Draws times to first token and hit rates of several policies.

use std::path::Path;

use plotters::prelude::*;

/// Size of the picture in pixels.
const SIZE: (u32, u32) = (960, 720);
/// Height of the upper half.
const UPPER: u32 = 440;
/// Size of labels.
const LABEL: u32 = 16;

/// One policy.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Series<'a> {
    /// Name.
    pub(crate) name: &'static str,
    /// Times to first token, from the shortest.
    pub(crate) first_tokens_ms: &'a [f64],
    /// Part of prompt tokens that was found in caches.
    pub(crate) hit_rate: f64,
}

/// Draws a picture in SVG.
pub(crate) fn draw(path: &Path, series: &[Series<'_>]) -> Result<(), String> {
    try_draw(path, series).map_err(|error| error.to_string())
}

fn try_draw(path: &Path, series: &[Series<'_>]) -> Result<(), Box<dyn std::error::Error>> {
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let (upper, lower) = root.split_vertically(UPPER);
    draw_times(&upper, series)?;
    draw_hit_rates(&lower, series)?;
    root.present()?;
    Ok(())
}

type Area<'a> = DrawingArea<SVGBackend<'a>, plotters::coord::Shift>;

/// Part of the requests whose first token came within a time.
fn draw_times(area: &Area<'_>, series: &[Series<'_>]) -> Result<(), Box<dyn std::error::Error>> {
    let ends = series
        .iter()
        .filter_map(|series| series.first_tokens_ms.last());
    let longest = ends.copied().fold(1.0, f64::max);
    let mut chart = ChartBuilder::on(area)
        .caption("Time to first token", ("sans-serif", LABEL + 4))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..longest, 0.0..1.0)?;
    chart
        .configure_mesh()
        .x_desc("milliseconds")
        .y_desc("part of requests")
        .draw()?;
    for (index, series) in series.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        let points = distribution(series.first_tokens_ms);
        chart
            .draw_series(LineSeries::new(points, color.stroke_width(2)))?
            .label(series.name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], color.stroke_width(2)));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::LowerRight)
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    Ok(())
}

fn draw_hit_rates(
    area: &Area<'_>,
    series: &[Series<'_>],
) -> Result<(), Box<dyn std::error::Error>> {
    let names: Vec<&str> = series.iter().map(|series| series.name).collect();
    let last = names.len().saturating_sub(1);
    let mut chart = ChartBuilder::on(area)
        .caption("Prefix hit rate", ("sans-serif", LABEL + 4))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d((0..last).into_segmented(), 0.0..1.0)?;
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_label_formatter(&|segment| match segment {
            SegmentValue::CenterOf(index) => names.get(*index).copied().unwrap_or("").to_owned(),
            _ => String::new(),
        })
        .y_desc("part of prompt tokens")
        .draw()?;
    chart.draw_series(series.iter().enumerate().map(|(index, series)| {
        let from = (SegmentValue::Exact(index), 0.0);
        let until = (SegmentValue::Exact(index + 1), series.hit_rate);
        let color = Palette99::pick(index).filled();
        let mut bar = Rectangle::new([from, until], color);
        bar.set_margin(0, 0, 20, 20);
        bar
    }))?;
    Ok(())
}

#[expect(clippy::cast_precision_loss)]
fn distribution(times: &[f64]) -> Vec<(f64, f64)> {
    let total = times.len() as f64;
    times
        .iter()
        .enumerate()
        .map(|(index, time)| (*time, (index + 1) as f64 / total))
        .collect()
}
