//! Latency histograms, Markdown tables and SVG plots of the experiments.

use std::fmt::Write as _;

use hdrhistogram::Histogram;

use crate::event::Micros;

/// Larger latencies are recorded as this one, one minute.
const MAX_LATENCY: Micros = 60_000_000;

/// Histogram of latencies, measured from the intended send time.
#[derive(Clone, Debug)]
pub struct LatencyRecord {
    histogram: Histogram<u64>,
}

impl LatencyRecord {
    /// An empty record with three significant digits.
    ///
    /// # Errors
    /// Fails if the histogram cannot be created.
    pub fn new() -> Result<Self, hdrhistogram::CreationError> {
        Ok(Self { histogram: Histogram::new_with_max(MAX_LATENCY, 3)? })
    }

    pub fn add(&mut self, latency: Micros) {
        self.histogram.saturating_record(latency);
    }

    #[must_use]
    pub fn count(&self) -> u64 {
        self.histogram.len()
    }

    /// Latency at `quantile` in milliseconds.
    #[must_use]
    pub fn millis(&self, quantile: f64) -> f64 {
        self.histogram.value_at_quantile(quantile) as f64 / 1_000.0
    }
}

/// Values of one metric, one per seed.
#[derive(Clone, Debug, Default)]
pub struct SeedSpread {
    values: Vec<f64>,
}

impl SeedSpread {
    pub fn add(&mut self, value: f64) {
        self.values.push(value);
        self.values.sort_by(f64::total_cmp);
    }

    /// Median of the seeds, 0 if there are none.
    #[must_use]
    pub fn median(&self) -> f64 {
        self.values.get(self.values.len() / 2).copied().unwrap_or(0.0)
    }

    #[must_use]
    pub fn lowest(&self) -> f64 {
        self.values.first().copied().unwrap_or(0.0)
    }

    #[must_use]
    pub fn highest(&self) -> f64 {
        self.values.last().copied().unwrap_or(0.0)
    }

    /// `median [lowest to highest]`.
    #[must_use]
    pub fn text(&self, digits: usize) -> String {
        let (median, low, high) = (self.median(), self.lowest(), self.highest());
        format!("{median:.digits$} [{low:.digits$} to {high:.digits$}]")
    }
}

/// A Markdown table.
#[derive(Clone, Debug)]
pub struct ReportTable {
    columns: usize,
    text: String,
}

impl ReportTable {
    #[must_use]
    pub fn new(headings: &[&str]) -> Self {
        let mut table = Self { columns: headings.len(), text: String::new() };
        table.row(headings.iter().map(|&heading| heading.to_owned()));
        table.text.push_str(&"|---".repeat(table.columns));
        table.text.push_str("|\n");
        table
    }

    pub fn row(&mut self, cells: impl IntoIterator<Item = String>) {
        for cell in cells.into_iter().take(self.columns) {
            let _ = write!(self.text, "| {cell} ");
        }
        self.text.push_str("|\n");
    }

    #[must_use]
    pub fn text(&self) -> &str {
        &self.text
    }
}

/// A named curve.
#[derive(Clone, Debug)]
pub struct PlotCurve {
    pub name: String,
    pub points: Vec<(f64, f64)>,
}

/// Size of a plot and its margin, in pixels.
const PLOT_WIDTH: f64 = 720.0;
const PLOT_HEIGHT: f64 = 360.0;
const PLOT_MARGIN: f64 = 56.0;
/// Curves beyond these colours start again with the first.
const CURVE_COLOURS: [&str; 4] = ["#1b6ca8", "#c0392b", "#7f8c8d", "#27ae60"];

/// An SVG line plot whose axes start at zero.
#[must_use]
pub fn line_plot(title: &str, x_label: &str, y_label: &str, curves: &[PlotCurve]) -> String {
    let points = || curves.iter().flat_map(|curve| &curve.points);
    let right = points().map(|p| p.0).fold(1e-9, f64::max);
    let top = points().map(|p| p.1).fold(1e-9, f64::max);
    let x = |value: f64| PLOT_MARGIN + value / right * (PLOT_WIDTH - 2.0 * PLOT_MARGIN);
    let y =
        |value: f64| PLOT_HEIGHT - PLOT_MARGIN - value / top * (PLOT_HEIGHT - 2.0 * PLOT_MARGIN);
    let mut svg = format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{PLOT_WIDTH}\" height=\"{PLOT_HEIGHT}\" \
         font-family=\"sans-serif\" font-size=\"12\">\n\
         <rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n"
    );
    let mut label = |x: f64, y: f64, text: &str| {
        let _ = writeln!(svg, "<text x=\"{x:.0}\" y=\"{y:.0}\">{text}</text>");
    };
    label(PLOT_MARGIN, 20.0, title);
    label(PLOT_WIDTH / 2.0, PLOT_HEIGHT - 12.0, x_label);
    label(6.0, PLOT_MARGIN - 12.0, y_label);
    label(6.0, y(top) + 4.0, &format!("{top:.1}"));
    label(x(right) - 20.0, PLOT_HEIGHT - PLOT_MARGIN + 16.0, &format!("{right:.0}"));
    for (index, curve) in curves.iter().enumerate() {
        label(PLOT_WIDTH - 150.0, 20.0 + 16.0 * index as f64, &curve.name);
    }
    let _ = writeln!(
        svg,
        "<path d=\"M{PLOT_MARGIN} {PLOT_MARGIN}V{:.0}H{:.0}\" fill=\"none\" stroke=\"black\"/>",
        PLOT_HEIGHT - PLOT_MARGIN,
        PLOT_WIDTH - PLOT_MARGIN
    );
    for (index, curve) in curves.iter().enumerate() {
        let colour = CURVE_COLOURS[index % CURVE_COLOURS.len()];
        let path: Vec<String> =
            curve.points.iter().map(|p| format!("{:.1},{:.1}", x(p.0), y(p.1))).collect();
        let _ = writeln!(
            svg,
            "<polyline points=\"{}\" fill=\"none\" stroke=\"{colour}\" stroke-width=\"1.5\"/>\n\
             <rect x=\"{:.0}\" y=\"{:.0}\" width=\"10\" height=\"10\" fill=\"{colour}\"/>",
            path.join(" "),
            PLOT_WIDTH - 166.0,
            11.0 + 16.0 * index as f64
        );
    }
    svg.push_str("</svg>\n");
    svg
}
