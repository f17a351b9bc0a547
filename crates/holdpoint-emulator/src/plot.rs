//! Plots as SVG.

use std::path::Path;

use plotters::{
    coord::ranged1d::{IntoSegmentedCoord, SegmentValue},
    prelude::{
        BLACK, ChartBuilder, Color, IntoDrawingArea, LineSeries, PathElement, RGBColor, Rectangle,
        SVGBackend, WHITE,
    },
};

/// Size of a plot, in pixels.
const SIZE: (u32, u32) = (900, 480);

/// Colours of series, distinguishable with red-green colour blindness.
const COLOURS: [RGBColor; 6] = [
    RGBColor(0, 114, 178),
    RGBColor(230, 159, 0),
    RGBColor(0, 158, 115),
    RGBColor(204, 121, 167),
    RGBColor(86, 180, 233),
    RGBColor(213, 94, 0),
];

/// The plot cannot be drawn or written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlotError(String);

impl std::fmt::Display for PlotError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for PlotError {}

/// A line of a plot.
#[derive(Clone, Debug, PartialEq)]
pub struct Series {
    /// Name in the legend.
    pub name: String,
    /// Points.
    pub points: Vec<(f64, f64)>,
}

/// Texts of a plot.
#[derive(Clone, Copy, Debug)]
pub struct Texts<'a> {
    /// Title.
    pub title: &'a str,
    /// Horizontal axis.
    pub x: &'a str,
    /// Vertical axis.
    pub y: &'a str,
}

/// Draws lines.
pub fn lines(path: &Path, texts: Texts<'_>, series: &[Series]) -> Result<(), PlotError> {
    let points = || series.iter().flat_map(|it| &it.points);
    let x_max = points().map(|it| it.0).fold(1e-9, f64::max);
    let y_max = points().map(|it| it.1).fold(1e-9, f64::max);
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE).map_err(error)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(texts.title, ("sans-serif", 20))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..x_max * 1.02, 0.0..y_max * 1.05)
        .map_err(error)?;
    chart.configure_mesh().x_desc(texts.x).y_desc(texts.y).draw().map_err(error)?;
    for (index, it) in series.iter().enumerate() {
        let colour = COLOURS[index % COLOURS.len()];
        let line = LineSeries::new(it.points.iter().copied(), colour.stroke_width(2));
        chart
            .draw_series(line)
            .map_err(error)?
            .label(&it.name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], colour.stroke_width(3)));
    }
    let mut legend = chart.configure_series_labels();
    legend.background_style(WHITE.mix(0.85)).border_style(BLACK);
    legend.draw().map_err(error)?;
    area.present().map_err(error)
}

/// Draws one bar for each name.
pub fn bars(path: &Path, texts: Texts<'_>, values: &[(String, f64)]) -> Result<(), PlotError> {
    let names: Vec<&str> = values.iter().map(|it| it.0.as_str()).collect();
    let top = values.iter().map(|it| it.1).fold(1e-9, f64::max);
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE).map_err(error)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(texts.title, ("sans-serif", 20))
        .margin(12)
        .x_label_area_size(60)
        .y_label_area_size(60)
        .build_cartesian_2d(names.as_slice().into_segmented(), 0.0..top * 1.1)
        .map_err(error)?;
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_labels(names.len())
        .x_desc(texts.x)
        .y_desc(texts.y)
        .draw()
        .map_err(error)?;
    chart
        .draw_series(values.iter().enumerate().map(|(index, (_, value))| {
            let (from, to) = (&names[index], names.get(index + 1));
            let left = SegmentValue::Exact(from);
            let right = to.map_or(SegmentValue::Last, SegmentValue::Exact);
            let colour = COLOURS[index % COLOURS.len()];
            let mut bar = Rectangle::new([(left, 0.0), (right, *value)], colour.filled());
            bar.set_margin(0, 0, 6, 6);
            bar
        }))
        .map_err(error)?;
    area.present().map_err(error)
}

fn error(error: impl std::fmt::Display) -> PlotError {
    PlotError(error.to_string())
}
