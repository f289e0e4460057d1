//! Tables and plots of an experiment.

use std::fmt::Write as _;

use hdrhistogram::Histogram;

use crate::event::Micros;

/// Largest latency that is told apart, one minute.
const MAX_LATENCY: Micros = 60_000_000;

/// Latencies, measured from the intended send time.
#[derive(Clone, Debug)]
pub struct LatencyRecord {
    histogram: Histogram<u64>,
}

impl LatencyRecord {
    /// An empty record with three significant digits.
    pub fn open() -> Result<Self, hdrhistogram::CreationError> {
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

/// One figure over several seeds.
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

const WIDTH: f64 = 720.0;
const HEIGHT: f64 = 360.0;
const MARGIN: f64 = 56.0;
const COLOURS: [&str; 4] = ["#1b6ca8", "#c0392b", "#7f8c8d", "#27ae60"];

/// An SVG line plot.
#[must_use]
pub fn line_plot(title: &str, x_label: &str, y_label: &str, curves: &[PlotCurve]) -> String {
    let points = || curves.iter().flat_map(|curve| &curve.points);
    let right = points().map(|p| p.0).fold(1e-9, f64::max);
    let top = points().map(|p| p.1).fold(1e-9, f64::max);
    let x = |value: f64| MARGIN + value / right * (WIDTH - 2.0 * MARGIN);
    let y = |value: f64| HEIGHT - MARGIN - value / top * (HEIGHT - 2.0 * MARGIN);
    let mut svg = format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{WIDTH}\" height=\"{HEIGHT}\" \
         font-family=\"sans-serif\" font-size=\"12\">\n\
         <rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n"
    );
    let mut label = |x: f64, y: f64, text: &str| {
        let _ = writeln!(svg, "<text x=\"{x:.0}\" y=\"{y:.0}\">{text}</text>");
    };
    label(MARGIN, 20.0, title);
    label(WIDTH / 2.0, HEIGHT - 12.0, x_label);
    label(6.0, MARGIN - 12.0, y_label);
    label(6.0, y(top) + 4.0, &format!("{top:.1}"));
    label(x(right) - 20.0, HEIGHT - MARGIN + 16.0, &format!("{right:.0}"));
    for (index, curve) in curves.iter().enumerate() {
        label(WIDTH - 150.0, 20.0 + 16.0 * index as f64, &curve.name);
    }
    let _ = writeln!(
        svg,
        "<path d=\"M{MARGIN} {MARGIN}V{:.0}H{:.0}\" fill=\"none\" stroke=\"black\"/>",
        HEIGHT - MARGIN,
        WIDTH - MARGIN
    );
    for (index, curve) in curves.iter().enumerate() {
        let colour = COLOURS[index % COLOURS.len()];
        let path: Vec<String> =
            curve.points.iter().map(|p| format!("{:.1},{:.1}", x(p.0), y(p.1))).collect();
        let _ = writeln!(
            svg,
            "<polyline points=\"{}\" fill=\"none\" stroke=\"{colour}\" stroke-width=\"1.5\"/>\n\
             <rect x=\"{:.0}\" y=\"{:.0}\" width=\"10\" height=\"10\" fill=\"{colour}\"/>",
            path.join(" "),
            WIDTH - 166.0,
            11.0 + 16.0 * index as f64
        );
    }
    svg.push_str("</svg>\n");
    svg
}
