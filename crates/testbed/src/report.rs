//! Reports of measurements: an HTML page with the distributions of values as tables and SVG plots.

use hdrhistogram::Histogram;
use plotters::prelude::*;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt::Write as _;

/// Larger values are recorded as this one.
const MAX_VALUE: u64 = 100_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;
/// Distance between two points of a plotted line on the axis of quantiles.
const PLOT_STEP_PERCENT: usize = 5;
const PLOT_SIZE: (u32, u32) = (640, 300);

/// One measured value.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Sample {
    /// Name of the measured quantity, with its unit.
    pub figure: String,
    /// Scenario, such as the size of the fleet and the fault.
    pub scenario: String,
    /// Variant, such as the features that were enabled.
    pub variant: String,
    /// Seed of the run.
    pub seed: u64,
    /// The value; `None` if the awaited event did not occur within the run.
    pub value: Option<u64>,
}

/// An error in making a report.
#[derive(Debug, thiserror::Error)]
pub enum ReportError {
    /// A line is not a valid sample.
    #[error("line {line}: {message}")]
    Line {
        /// Number of the line, from 1.
        line: usize,
        /// Description of the error.
        message: String,
    },
    /// There are no samples.
    #[error("no samples")]
    Empty,
    /// A histogram or a plot could not be created.
    #[error("plot: {0}")]
    Plot(String),
}

/// Parses samples, one JSON object per line. Empty lines are skipped.
pub fn read_samples(text: &str) -> Result<Vec<Sample>, ReportError> {
    let lines = text.lines().enumerate().filter(|(_, line)| !line.trim().is_empty());
    let samples = lines.map(|(i, line)| {
        serde_json::from_str(line).map_err(|e| ReportError::Line { line: i + 1, message: e.to_string() })
    });
    samples.collect()
}

/// Distribution of the values of one figure, scenario and variant.
#[derive(Debug)]
pub struct Distribution {
    histogram: Histogram<u64>,
    runs: usize,
    /// Number of runs without a value.
    missing: usize,
}

impl Distribution {
    fn new() -> Result<Distribution, ReportError> {
        let histogram =
            Histogram::new_with_max(MAX_VALUE, SIGNIFICANT_DIGITS).map_err(|e| ReportError::Plot(e.to_string()))?;
        Ok(Distribution { histogram, runs: 0, missing: 0 })
    }

    fn add(&mut self, value: Option<u64>) {
        self.runs += 1;
        match value {
            Some(value) => self.histogram.saturating_record(value.min(MAX_VALUE)),
            None => self.missing += 1,
        }
    }

    /// Returns the value at a quantile, from 0 to 1, or `None` if there are no values.
    pub fn quantile(&self, quantile: f64) -> Option<u64> {
        (!self.histogram.is_empty()).then(|| self.histogram.value_at_quantile(quantile))
    }

    /// Returns the largest value, or `None` if there are no values.
    pub fn worst(&self) -> Option<u64> {
        (!self.histogram.is_empty()).then(|| self.histogram.max())
    }
}

type ByVariant = BTreeMap<String, Distribution>;
/// Distributions by figure, scenario and variant.
pub type ByFigure = BTreeMap<String, BTreeMap<String, ByVariant>>;

/// Computes the distributions of samples by figure, scenario and variant.
pub fn distributions(samples: &[Sample]) -> Result<ByFigure, ReportError> {
    let mut figures = ByFigure::new();
    for sample in samples {
        let scenarios = figures.entry(sample.figure.clone()).or_default();
        let variants = scenarios.entry(sample.scenario.clone()).or_default();
        if !variants.contains_key(&sample.variant) {
            variants.insert(sample.variant.clone(), Distribution::new()?);
        }
        if let Some(distribution) = variants.get_mut(&sample.variant) {
            distribution.add(sample.value);
        }
    }
    Ok(figures)
}

/// Renders samples as an HTML page.
pub fn html(title: &str, samples: &[Sample]) -> Result<String, ReportError> {
    if samples.is_empty() {
        return Err(ReportError::Empty);
    }
    let mut page = String::from("<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">");
    let title = escape(title);
    // Writing to a `String` never fails.
    let _ = writeln!(page, "<title>{title}</title><style>{STYLE}</style></head><body><h1>{title}</h1>");
    page += "<p>Machines are simulated. Runs without a value are counted as missing and left out of the quantiles.</p>";
    for (figure, scenarios) in distributions(samples)? {
        let _ = writeln!(page, "<h2>{}</h2>", escape(&figure));
        for (scenario, variants) in scenarios {
            let _ = writeln!(page, "<h3>{}</h3>{}", escape(&scenario), table(&variants));
            page += &plot(&variants)?;
        }
    }
    page += "</body></html>\n";
    Ok(page)
}

const STYLE: &str = "body{font-family:sans-serif;max-width:60em;margin:2em auto}table{border-collapse:collapse}\
    td,th{border:1px solid #999;padding:.2em .6em;text-align:right}th:first-child,td:first-child{text-align:left}";

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}

fn table(variants: &ByVariant) -> String {
    let mut text = String::from(
        "<table><tr><th>variant</th><th>runs</th><th>missing</th><th>median</th><th>p99</th><th>worst</th></tr>",
    );
    let format_value = |value: Option<u64>| value.map_or("-".to_string(), |value| value.to_string());
    for (name, d) in variants {
        let (median, p99, worst) =
            (format_value(d.quantile(0.5)), format_value(d.quantile(0.99)), format_value(d.worst()));
        let _ = write!(
            text,
            "<tr><td>{}</td><td>{}</td><td>{}</td><td>{median}</td><td>{p99}</td><td>{worst}</td></tr>",
            escape(name),
            d.runs,
            d.missing
        );
    }
    text + "</table>"
}

/// Plots the quantiles of all variants, one line each. Returns an empty text if there are no values.
fn plot(variants: &ByVariant) -> Result<String, ReportError> {
    let plot_error = |e: &dyn std::fmt::Display| ReportError::Plot(e.to_string());
    let Some(max_value) = variants.values().filter_map(Distribution::worst).max() else { return Ok(String::new()) };
    let max_value = max_value.max(1);
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, PLOT_SIZE).into_drawing_area();
        area.fill(&WHITE).map_err(|e| plot_error(&e))?;
        let mut chart = ChartBuilder::on(&area)
            .margin(10)
            .x_label_area_size(30)
            .y_label_area_size(60)
            .build_cartesian_2d(0f64..100f64, 0f64..max_value as f64 * 1.05)
            .map_err(|e| plot_error(&e))?;
        chart.configure_mesh().max_light_lines(0).x_desc("quantile, %").draw().map_err(|e| plot_error(&e))?;
        for (i, (name, d)) in variants.iter().enumerate() {
            let color = Palette99::pick(i).to_rgba();
            let points = (0..=100)
                .step_by(PLOT_STEP_PERCENT)
                .filter_map(|q| Some((f64::from(q), d.quantile(f64::from(q) / 100.0)? as f64)));
            let line = LineSeries::new(points, color.stroke_width(2));
            let drawn = chart.draw_series(line).map_err(|e| plot_error(&e))?;
            drawn.label(name).legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], color.stroke_width(2)));
        }
        let mut labels = chart.configure_series_labels();
        labels.background_style(WHITE.mix(0.8)).border_style(BLACK).draw().map_err(|e| plot_error(&e))?;
        area.present().map_err(|e| plot_error(&e))?;
    }
    Ok(svg)
}
