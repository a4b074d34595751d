//! Implements the `report` command.

use std::ffi::OsString;
use std::fs;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use serde_json::Value;

use crate::plot;
use crate::util;

const USAGE: &str = "\
Plots measurements as SVG, from a file with one JSON object per line.

Usage:
    wasabiloft report --x FIELD --y FIELD... [--title TEXT] [--out FILE] INPUT

A field is a name, or names joined by dots, such as lag_ms.p99. A line without the x field is skipped; a
line without a y field leaves out that point. The points of a series are connected in the order of x.

Options:
    --x FIELD         The field of the horizontal axis.
    --y FIELD         The field of a series; can be repeated.
    --title TEXT      The plot's title.
    --out FILE        The output file; default: standard output.
    -h, --help        Show this text.
";

struct Args {
    x: String,
    y: Vec<String>,
    title: String,
    out: Option<PathBuf>,
    input: PathBuf,
}

pub fn run(argv: &[OsString]) -> Result<ExitCode, util::Error> {
    let Some(args) = parse(argv)? else {
        return Ok(util::help(USAGE));
    };
    if args.x.is_empty() || args.y.is_empty() || args.input.as_os_str().is_empty() {
        return Err(util::Error::usage(USAGE));
    }
    let objects = read_objects(&args.input)?;
    let series: Vec<_> = args
        .y
        .iter()
        .map(|y| series(&objects, &args.x, y))
        .collect();
    if series.iter().all(|series| series.points.is_empty()) {
        let message = format!("{}: no line has the requested fields", args.input.display());
        return Err(util::Error::failed(message));
    }
    let svg = plot::draw(&args.title, &args.x, &series);
    match &args.out {
        Some(out) => {
            let written = fs::write(out, svg);
            written.map_err(|error| util::Error::failed(format!("{}: {error}", out.display())))?;
        }
        None => print!("{svg}"),
    }
    Ok(ExitCode::SUCCESS)
}

fn parse(argv: &[OsString]) -> Result<Option<Args>, util::Error> {
    use lexopt::prelude::*;

    let mut args = Args {
        x: String::new(),
        y: Vec::new(),
        title: String::new(),
        out: None,
        input: PathBuf::new(),
    };
    let mut parser = util::parser(argv);
    while let Some(arg) = parser.next()? {
        match arg {
            Long("x") => args.x = parser.value()?.string()?,
            Long("y") => args.y.push(parser.value()?.string()?),
            Long("title") => args.title = parser.value()?.string()?,
            Long("out") => args.out = Some(PathBuf::from(parser.value()?)),
            Value(value) => args.input = PathBuf::from(value),
            Short('h') | Long("help") => return Ok(None),
            other => return Err(other.unexpected().into()),
        }
    }
    Ok(Some(args))
}

fn read_objects(input: &Path) -> Result<Vec<Value>, util::Error> {
    let text = util::read_file(input)?;
    let mut objects = Vec::new();
    for (index, line) in text.lines().enumerate() {
        if line.trim().is_empty() {
            continue;
        }
        let object = serde_json::from_str(line).map_err(|error| {
            util::Error::failed(format!("{}:{}: {error}", input.display(), index + 1))
        })?;
        objects.push(object);
    }
    Ok(objects)
}

fn series(objects: &[Value], x: &str, y: &str) -> plot::Series {
    let points = objects.iter().filter_map(|object| {
        let x = number(object, x)?;
        let y = number(object, y)?;
        Some(plot::Point { x, y })
    });
    let mut points: Vec<_> = points.collect();
    points.sort_by(|a, b| a.x.total_cmp(&b.x));
    plot::Series {
        name: y.to_owned(),
        points,
    }
}

fn number(object: &Value, field: &str) -> Option<f64> {
    let mut value = object;
    for name in field.split('.') {
        value = value.get(name)?;
    }
    value.as_f64().filter(|number| number.is_finite())
}
