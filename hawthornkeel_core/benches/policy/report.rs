//! Readable report of the bench: a table, and a plot of the service by second for each case.

use std::fmt::Write;
use std::fs;
use std::io;
use std::path::Path;

use crate::case::Case;
use crate::case::fault_second;
use crate::stats::Stats;

/// Width of a second in a plot, in pixels.
const SECOND_WIDTH: usize = 8;
/// Height of the range from none to all answered, in pixels.
const HEIGHT: f64 = 120.0;
/// Margin around the range, in pixels.
const MARGIN: usize = 24;

/// Case with the figures of both policies.
pub struct Row {
    pub case: Case,
    pub ours: Stats,
    pub plain: Stats,
}

/// Writes the report into a directory, which is created.
pub fn write(dir: &Path, seed: u64, rows: &[Row], broken: &[String]) -> io::Result<()> {
    fs::create_dir_all(dir)?;
    for row in rows {
        fs::write(dir.join(file_name(row)), plot(row))?;
    }
    fs::write(dir.join("report.md"), table(seed, rows, broken))
}

/// Returns the name of a case's plot.
fn file_name(row: &Row) -> String {
    let keep = |c: char| if c.is_ascii_alphanumeric() { c } else { '-' };
    let name: String = row.case.name().trim().chars().map(keep).collect();
    format!("{name}.svg")
}

/// Returns the table in Markdown.
fn table(seed: u64, rows: &[Row], broken: &[String]) -> String {
    let mut text = format!("# Policy bench, seed {seed}\n\nOurs / plain baseline.\n\n");
    text +=
        "| load, fault | attained % | wasted % | worst second % | time to level s | by second |\n";
    text += "|---|---|---|---|---|---|\n";
    for row in rows {
        let pair =
            |cell: &dyn Fn(&Stats) -> String| format!("{} / {}", cell(&row.ours), cell(&row.plain));
        let from = fault_second();
        let _ = writeln!(
            text,
            "| {} | {} | {} | {} | {} | [plot]({}) |",
            row.case.name().trim(),
            pair(&|s| format!("{:.3}", s.attainment() * 100.0)),
            pair(&|s| format!("{:.2}", s.waste() * 100.0)),
            pair(&|s| format!("{:.1}", s.worst(from) * 100.0)),
            pair(&|s| s.to_level(from).to_string()),
            file_name(row),
        );
    }
    text += "\n## Broken bounds\n\n";
    if broken.is_empty() {
        text += "None.\n";
    }
    for one in broken {
        let _ = writeln!(text, "- {one}");
    }
    text
}

/// Returns a plot of the requests answered by second of arrival.
fn plot(row: &Row) -> String {
    let seconds = row.ours.offered_by.len();
    let (width, height) = (seconds * SECOND_WIDTH + 2 * MARGIN, HEIGHT as usize + 2 * MARGIN);
    let mut svg = format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{width}\" height=\"{height}\" \
         font-family=\"sans-serif\" font-size=\"11\">\n\
         <rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n"
    );
    let title = "answered by second of arrival; ours solid, plain dashed, fault in grey";
    let _ =
        writeln!(svg, "<text x=\"{MARGIN}\" y=\"14\">{}: {title}</text>", row.case.name().trim());
    for step in row.case.schedule.steps().into_iter().filter(|s| s.on) {
        let start = crate::stats::second(crate::world::MEASURE_AT, step.at);
        let span = step.fault.lasts().as_secs() as usize * SECOND_WIDTH;
        let left = MARGIN + start * SECOND_WIDTH;
        let _ = writeln!(
            svg,
            "<rect x=\"{left}\" y=\"{MARGIN}\" width=\"{span}\" height=\"{HEIGHT}\" fill=\"#ddd\"/>"
        );
    }
    for (percent, label) in [(0.0, "0"), (0.5, "50%"), (1.0, "100%")] {
        let at = level(percent);
        let right = width - MARGIN;
        let _ = writeln!(
            svg,
            "<line x1=\"{MARGIN}\" x2=\"{right}\" y1=\"{at}\" y2=\"{at}\" stroke=\"#bbb\"/>\
             <text x=\"0\" y=\"{at}\">{label}</text>"
        );
    }
    svg += &line(&row.plain, "#c50\" stroke-dasharray=\"4 3");
    svg += &line(&row.ours, "#06c");
    svg += "</svg>\n";
    svg
}

/// Returns the line of one run.
fn line(stats: &Stats, stroke: &str) -> String {
    let point = |s: usize| {
        let middle = MARGIN + s * SECOND_WIDTH + SECOND_WIDTH / 2;
        format!("{middle},{:.1}", level(stats.second(s)))
    };
    let points: Vec<String> = (0..stats.offered_by.len()).map(point).collect();
    format!("<polyline fill=\"none\" stroke=\"{stroke}\" points=\"{}\"/>\n", points.join(" "))
}

/// Returns the height of a share answered in a plot.
fn level(share: f64) -> f64 {
    MARGIN as f64 + HEIGHT * (1.0 - share)
}
