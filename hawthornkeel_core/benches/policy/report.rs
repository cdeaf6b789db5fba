//! Report of the bench: a Markdown table, and for each case a plot of the share answered by second.

use std::fmt::Write;
use std::fs;
use std::io;
use std::path::Path;

use crate::case::Case;
use crate::case::fault_second;
use crate::stats::Stats;

/// Width of a second in a plot, in pixels.
const SECOND_WIDTH: usize = 8;
/// Height of the plot area, in pixels.
const HEIGHT: f64 = 120.0;
/// Margin around the plot area, in pixels.
const MARGIN: usize = 24;

/// Case with the statistics of both policies.
pub struct Row {
    pub case: Case,
    pub router: Stats,
    pub baseline: Stats,
}

/// Writes the report into a directory, creating it if needed.
pub fn write(dir: &Path, seed: u64, rows: &[Row], violations: &[String]) -> io::Result<()> {
    fs::create_dir_all(dir)?;
    for row in rows {
        fs::write(dir.join(file_name(row)), plot(row))?;
    }
    fs::write(dir.join("report.md"), table(seed, rows, violations))
}

/// Returns the file name of a case's plot.
fn file_name(row: &Row) -> String {
    let keep = |c: char| if c.is_ascii_alphanumeric() { c } else { '-' };
    let name: String = row.case.label().trim().chars().map(keep).collect();
    format!("{name}.svg")
}

/// Returns the report as Markdown.
fn table(seed: u64, rows: &[Row], violations: &[String]) -> String {
    let mut text = format!("# Policy bench, seed {seed}\n\nRouter / baseline.\n\n");
    text +=
        "| load, fault | attained % | wasted % | worst second % | time to level s | by second |\n";
    text += "|---|---|---|---|---|---|\n";
    for row in rows {
        let pair = |cell: &dyn Fn(&Stats) -> String| {
            format!("{} / {}", cell(&row.router), cell(&row.baseline))
        };
        let from = fault_second();
        let _ = writeln!(
            text,
            "| {} | {} | {} | {} | {} | [plot]({}) |",
            row.case.label().trim(),
            pair(&|s| format!("{:.3}", s.attainment() * 100.0)),
            pair(&|s| format!("{:.2}", s.waste() * 100.0)),
            pair(&|s| format!("{:.1}", s.worst_second(from) * 100.0)),
            pair(&|s| s.recovery_seconds(from).to_string()),
            file_name(row),
        );
    }
    text += "\n## Broken bounds\n\n";
    if violations.is_empty() {
        text += "None.\n";
    }
    for violation in violations {
        let _ = writeln!(text, "- {violation}");
    }
    text
}

/// Returns an SVG plot of the share answered by second of arrival.
fn plot(row: &Row) -> String {
    let seconds = row.router.offered_by_second.len();
    let (width, height) = (seconds * SECOND_WIDTH + 2 * MARGIN, HEIGHT as usize + 2 * MARGIN);
    let mut svg = format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{width}\" height=\"{height}\" \
         font-family=\"sans-serif\" font-size=\"11\">\n\
         <rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n"
    );
    let title = "answered by second of arrival; router solid, baseline dashed, fault in grey";
    let _ =
        writeln!(svg, "<text x=\"{MARGIN}\" y=\"14\">{}: {title}</text>", row.case.label().trim());
    for change in row.case.schedule.changes().into_iter().filter(|c| c.on) {
        let start = crate::stats::second_since(crate::simulation::MEASURE_START, change.at);
        let span = change.fault.duration().as_secs() as usize * SECOND_WIDTH;
        let left = MARGIN + start * SECOND_WIDTH;
        let _ = writeln!(
            svg,
            "<rect x=\"{left}\" y=\"{MARGIN}\" width=\"{span}\" height=\"{HEIGHT}\" fill=\"#ddd\"/>"
        );
    }
    for (percent, label) in [(0.0, "0"), (0.5, "50%"), (1.0, "100%")] {
        let at = y_position(percent);
        let right = width - MARGIN;
        let _ = writeln!(
            svg,
            "<line x1=\"{MARGIN}\" x2=\"{right}\" y1=\"{at}\" y2=\"{at}\" stroke=\"#bbb\"/>\
             <text x=\"0\" y=\"{at}\">{label}</text>"
        );
    }
    svg += &line(&row.baseline, "#c50\" stroke-dasharray=\"4 3");
    svg += &line(&row.router, "#06c");
    svg += "</svg>\n";
    svg
}

/// Returns the polyline of a run.
fn line(stats: &Stats, stroke: &str) -> String {
    let point = |s: usize| {
        let middle = MARGIN + s * SECOND_WIDTH + SECOND_WIDTH / 2;
        format!("{middle},{:.1}", y_position(stats.answered_share(s)))
    };
    let points: Vec<String> = (0..stats.offered_by_second.len()).map(point).collect();
    format!("<polyline fill=\"none\" stroke=\"{stroke}\" points=\"{}\"/>\n", points.join(" "))
}

/// Returns the vertical position of a share answered, in pixels.
fn y_position(share: f64) -> f64 {
    MARGIN as f64 + HEIGHT * (1.0 - share)
}
