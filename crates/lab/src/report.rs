//! Writes outcomes for people and for programs: one HTML file with plots, lines of
//! JSON, and CSV.

use std::{
    fmt::Write as _,
    fs::{self, File},
    io::{BufRead, BufReader, Write as _},
    path::Path,
};

use anyhow::Context;
use plotters::prelude::{
    BLACK, ChartBuilder, Color as _, IntoDrawingArea, LineSeries, PathElement, RGBColor,
    SVGBackend, SeriesLabelPosition, WHITE,
};

use crate::{
    compare::{self, Mean},
    outcome::{Outcome, Second},
    site::Site,
};

/// Size of a plot in pixels.
const SIZE: (u32, u32) = (760, 240);

/// Colours of the outcomes that are shown together.
const COLOURS: [RGBColor; 6] = [
    RGBColor(0x1f, 0x77, 0xb4),
    RGBColor(0xd6, 0x27, 0x28),
    RGBColor(0x2c, 0xa0, 0x2c),
    RGBColor(0xff, 0x7f, 0x0e),
    RGBColor(0x94, 0x67, 0xbd),
    RGBColor(0x8c, 0x56, 0x4b),
];

/// Length of the line beside a name in a plot, in pixels.
const KEY: i32 = 14;

/// Outcomes that are shown as one line, with its name.
type Line<'a> = (String, Vec<&'a Outcome>);

/// A figure of each second.
struct Figure {
    title: String,
    value: Box<dyn Fn(&Second) -> f64>,
}

/// Writes outcomes as lines of JSON.
///
/// # Errors
///
/// When the file cannot be written.
pub fn write_json(outcomes: &[Outcome], path: &Path) -> anyhow::Result<()> {
    let mut file = File::create(path).with_context(|| format!("write {}", path.display()))?;
    for outcome in outcomes {
        serde_json::to_writer(&mut file, outcome)?;
        writeln!(file)?;
    }
    Ok(())
}

/// Reads what [`write_json`] wrote.
///
/// # Errors
///
/// When the file cannot be read, or a line is no outcome.
pub fn read_json(path: &Path) -> anyhow::Result<Vec<Outcome>> {
    let file = File::open(path).with_context(|| format!("read {}", path.display()))?;
    let lines = BufReader::new(file).lines().enumerate();
    lines
        .map(|(index, line)| {
            let place = || format!("{}, line {}", path.display(), index + 1);
            serde_json::from_str(&line?).with_context(place)
        })
        .collect()
}

/// Writes a row for each outcome and kind as CSV.
///
/// # Errors
///
/// When the file cannot be written.
pub fn write_csv(outcomes: &[Outcome], path: &Path) -> anyhow::Result<()> {
    let mut file =
        csv::Writer::from_path(path).with_context(|| format!("write {}", path.display()))?;
    file.write_record([
        "site", "policy", "setting", "seed", "kind", "asked", "timely", "late", "refused",
        "failed", "left", "worth", "p50_ms", "p95_ms",
    ])?;
    for outcome in outcomes {
        for (kind, seen) in &outcome.kinds {
            file.write_record([
                outcome.site.clone(),
                outcome.policy.clone(),
                outcome.setting.clone(),
                outcome.seed.to_string(),
                kind.clone(),
                seen.asked.to_string(),
                seen.timely.to_string(),
                seen.late.to_string(),
                seen.refused.to_string(),
                seen.failed.to_string(),
                seen.left.to_string(),
                format!("{:.4}", seen.part()),
                format!("{:.1}", seen.middle),
                format!("{:.1}", seen.most),
            ])?;
        }
    }
    file.flush()?;
    Ok(())
}

/// Writes a page with a table and plots by second; outcomes of one policy and
/// setting are averaged, and the first six of these shown together.
///
/// # Errors
///
/// When the file cannot be written, or there is no outcome.
pub fn write_html(outcomes: &[Outcome], site: &Site, path: &Path) -> anyhow::Result<()> {
    anyhow::ensure!(!outcomes.is_empty(), "there is no outcome to show");
    let means = compare::means(outcomes, site);
    let mut page = head(&site.name);
    page += &table(&means);
    let lines = lines(outcomes, &means);
    page += &legend(&lines);
    for figure in figures(site) {
        page += &plot(&figure, &lines)?;
    }
    page += "</body></html>\n";
    fs::write(path, page).with_context(|| format!("write {}", path.display()))
}

/// Writes the first plot of [`write_html`], for pages that show one.
///
/// # Errors
///
/// As [`write_html`].
pub fn write_svg(outcomes: &[Outcome], site: &Site, path: &Path) -> anyhow::Result<()> {
    anyhow::ensure!(!outcomes.is_empty(), "there is no outcome to show");
    let means = compare::means(outcomes, site);
    let lines = lines(outcomes, &means);
    let svg = plot(&figures(site).remove(0), &lines)?;
    fs::write(path, svg).with_context(|| format!("write {}", path.display()))
}

fn lines<'a>(outcomes: &'a [Outcome], means: &[Mean]) -> Vec<Line<'a>> {
    let line = |mean: &Mean| {
        let of =
            |outcome: &&Outcome| outcome.policy == mean.policy && outcome.setting == mean.setting;
        let name = format!("{} {}", mean.policy, mean.setting);
        (name.trim().to_owned(), outcomes.iter().filter(of).collect())
    };
    means.iter().take(COLOURS.len()).map(line).collect()
}

fn head(title: &str) -> String {
    format!(
        "<!DOCTYPE html>\n<html><head><meta charset=\"utf-8\"><title>{title}</title>\n\
         <style>body{{font:14px sans-serif;margin:2em;max-width:60em}}\
         table{{border-collapse:collapse}}td,th{{padding:.2em .7em;text-align:right;\
         border-bottom:1px solid #ccc}}td:first-child,th:first-child{{text-align:left}}\
         svg{{display:block;margin:1em 0}}</style></head>\n<body><h1>{title}</h1>\n"
    )
}

fn table(means: &[Mean]) -> String {
    let mut text = "<table><tr><th>policy</th><th>worth</th><th>least</th><th>in time</th>\
                    <th>late</th><th>refused</th><th>lost</th><th>over the bound</th>\
                    <th>first event, 95 in 100</th></tr>\n"
        .to_owned();
    for mean in means {
        writeln!(
            text,
            "<tr><td>{} {}</td><td>{:.3}</td><td>{:.3}</td><td>{:.3}</td><td>{:.3}</td>\
             <td>{:.3}</td><td>{:.3}</td><td>{:.4}</td><td>{:.0} ms</td></tr>",
            mean.policy,
            mean.setting,
            mean.worth[0],
            mean.worth[1],
            mean.timely,
            mean.late,
            mean.refused,
            mean.lost,
            mean.over,
            mean.most
        )
        .expect("writing to a text does not fail");
    }
    text + "</table>\n"
}

fn legend(lines: &[Line]) -> String {
    let entries = lines.iter().zip(COLOURS).map(|((name, _), colour)| {
        let RGBColor(red, green, blue) = colour;
        format!("<span style=\"color:rgb({red},{green},{blue})\">&#9632; {name}</span> ")
    });
    format!("<p>{}</p>\n", entries.collect::<String>())
}

fn figures(site: &Site) -> Vec<Figure> {
    let figure = |title: &str, value: fn(&Second) -> f64| Figure {
        title: title.to_owned(),
        value: Box::new(value),
    };
    let mut figures = vec![
        figure("Part of the worth that was earned", |second| {
            second.seen.part()
        }),
        figure("First event, 95 in 100, ms", |second| second.seen.most),
        figure("Refused, part of the requests", |second| {
            f64::from(second.seen.refused) / f64::from(second.seen.asked.max(1))
        }),
        figure("Lost, part of the requests", |second| {
            let lost = second.seen.failed + second.seen.left;
            f64::from(lost) / f64::from(second.seen.asked.max(1))
        }),
    ];
    for service in &site.services {
        let id = service.id.clone();
        figures.push(Figure {
            title: format!("Largest load of a target of {id}, relative to the mean"),
            value: Box::new(move |second| second.skew.get(&id).copied().unwrap_or_default()),
        });
        let id = service.id.clone();
        figures.push(Figure {
            title: format!("Mean load of a target of {id}"),
            value: Box::new(move |second| second.load.get(&id).copied().unwrap_or_default()),
        });
    }
    figures
}

/// Returns the mean of a figure over some outcomes, by second.
fn series(figure: &Figure, outcomes: &[&Outcome]) -> Vec<(f64, f64)> {
    let length = outcomes.iter().map(|outcome| outcome.seconds.len()).min();
    (0..length.unwrap_or_default())
        .map(|second| {
            let sum: f64 = outcomes
                .iter()
                .map(|outcome| (figure.value)(&outcome.seconds[second]))
                .sum();
            (second as f64, sum / outcomes.len() as f64)
        })
        .collect()
}

fn plot(figure: &Figure, lines: &[Line]) -> anyhow::Result<String> {
    let lines: Vec<(&str, Vec<(f64, f64)>)> = lines
        .iter()
        .map(|(name, outcomes)| (name.as_str(), series(figure, outcomes)))
        .collect();
    let points = || lines.iter().flat_map(|(_, points)| points);
    let right = points().map(|(second, _)| *second).fold(1.0, f64::max);
    let top = points().map(|(_, value)| *value).fold(0.0, f64::max);
    let top = if top > 0.0 { top * 1.05 } else { 1.0 };
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .caption(&figure.title, ("sans-serif", 15))
            .margin(8)
            .x_label_area_size(28)
            .y_label_area_size(48)
            .build_cartesian_2d(0.0..right, 0.0..top)?;
        chart
            .configure_mesh()
            .light_line_style(WHITE)
            .bold_line_style(BLACK.mix(0.1))
            .x_desc("seconds")
            .draw()?;
        for ((name, points), colour) in lines.iter().zip(COLOURS) {
            chart
                .draw_series(LineSeries::new(points.iter().copied(), colour))?
                .label(*name)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + KEY, y)], colour));
        }
        chart
            .configure_series_labels()
            .position(SeriesLabelPosition::LowerLeft)
            .background_style(WHITE.mix(0.8))
            .border_style(BLACK.mix(0.2))
            .draw()?;
        area.present()?;
    }
    Ok(svg)
}
