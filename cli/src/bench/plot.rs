//! Draws a run as SVG: attainment, goodput, waste and queue length by tier over time.

use std::path::Path;

use monsoonbank_kernel::call::CallOutcome;
use plotters::prelude::*;

use crate::bench::BenchError;
use crate::bench::measure::{RunRecord, SAMPLE};
use crate::bench::scenario::ScenarioFile;

const COLOURS: [RGBColor; 3] = [
    RGBColor(200, 30, 30),
    RGBColor(30, 90, 200),
    RGBColor(90, 90, 90),
];

/// Number of equal time intervals that the scenario is divided into.
const INTERVALS: usize = 120;

type Line = Vec<(f64, f64)>;

struct Curves {
    attainment: [Line; 3],
    goodput: [Line; 3],
    waste: [Line; 3],
    queue: [Line; 3],
}

fn curves(scenario: &ScenarioFile, record: &RunRecord) -> Curves {
    let interval = scenario.length.as_secs_f64() / INTERVALS as f64;
    let mut sent = vec![[0.0; 3]; INTERVALS];
    let mut good = vec![[0.0; 3]; INTERVALS];
    let mut work = vec![[0.0; 3]; INTERVALS];
    let mut lost = vec![[0.0; 3]; INTERVALS];
    for (index, call) in record.calls.iter().enumerate() {
        let slot = ((call.at.as_secs_f64() / interval) as usize).min(INTERVALS - 1);
        let tier = usize::from(call.tier.0.min(2));
        let track = &record.tracks[index];
        sent[slot][tier] += 1.0;
        if record.meets_targets(scenario, index) {
            good[slot][tier] += 1.0;
            work[slot][tier] += record.work(scenario, index) / interval;
        }
        let complete = matches!(track.ended, Some((_, CallOutcome::Whole { .. })));
        lost[slot][tier] += if complete {
            track.repeated_work
        } else {
            track.work
        } / interval;
    }
    let line = |value: &dyn Fn(usize, usize) -> f64| -> [Line; 3] {
        [0, 1, 2].map(|tier| {
            (0..INTERVALS)
                .map(|n| (n as f64 * interval, value(n, tier)))
                .collect()
        })
    };
    let attained = |n: usize, tier: usize| {
        if sent[n][tier] > 0.0 {
            good[n][tier] / sent[n][tier]
        } else {
            1.0
        }
    };
    let sample = SAMPLE.as_secs_f64();
    let queue = [0, 1, 2].map(|tier| {
        let samples = record.samples.iter().enumerate().step_by(10);
        let point = |(n, load): (usize, &crate::bench::measure::LoadSample)| {
            (n as f64 * sample, f64::from(load.waiting[tier]))
        };
        samples.map(point).collect()
    });
    Curves {
        attainment: line(&attained),
        goodput: line(&|n, tier| work[n][tier]),
        waste: line(&|n, tier| lost[n][tier]),
        queue,
    }
}

/// Draws a run as SVG into the file at `path`; fails if the file cannot be written.
pub fn draw(path: &Path, scenario: &ScenarioFile, record: &RunRecord) -> Result<(), BenchError> {
    let plot_error = |reason: String| BenchError::Plot {
        file: path.display().to_string().into(),
        reason: reason.into(),
    };
    let curves = curves(scenario, record);
    let area = SVGBackend::new(path, (900, 1_000)).into_drawing_area();
    area.fill(&WHITE)
        .map_err(|error| plot_error(error.to_string()))?;
    let panels = area.split_evenly((4, 1));
    let lines = [
        ("attainment", &curves.attainment),
        ("goodput, slots", &curves.goodput),
        ("waste, slots", &curves.waste),
        ("waiting calls", &curves.queue),
    ];
    for (panel, (title, lines)) in panels.iter().zip(lines) {
        draw_panel(panel, title, lines, scenario).map_err(&plot_error)?;
    }
    area.present()
        .map_err(|error| plot_error(error.to_string()))
}

fn draw_panel(
    panel: &DrawingArea<SVGBackend<'_>, plotters::coord::Shift>,
    title: &str,
    lines: &[Line; 3],
    scenario: &ScenarioFile,
) -> Result<(), String> {
    let values = lines.iter().flatten().map(|(_, value)| *value);
    let most = values.fold(1.0, f64::max);
    let mut chart = ChartBuilder::on(panel)
        .margin(8)
        .caption(title, ("sans-serif", 16))
        .x_label_area_size(24)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..scenario.length.as_secs_f64(), 0.0..most * 1.05)
        .map_err(|error| error.to_string())?;
    chart
        .configure_mesh()
        .x_desc("seconds")
        .draw()
        .map_err(|error| error.to_string())?;
    for (tier, line) in lines.iter().enumerate() {
        let series = LineSeries::new(line.iter().copied(), &COLOURS[tier]);
        chart
            .draw_series(series)
            .map_err(|error| error.to_string())?
            .label(format!("tier {tier}"))
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], COLOURS[tier]));
    }
    chart
        .configure_series_labels()
        .border_style(BLACK)
        .draw()
        .map_err(|error| error.to_string())
}
