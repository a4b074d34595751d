//! Implements the `explain` command.

use std::collections::BTreeSet;
use std::ffi::OsString;
use std::fs;
use std::io::{self, Read};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use crate::util;

const USAGE: &str = "\
Shows the history of one job from the logs of all nodes, in order of time, with the state that the nodes logged.

Usage:
    wasabiloft explain ID [FILE...]

ID is a job's id, or a task's name. A file holds the log of one node, or lines of many nodes that begin with a time and
the node's name; without files, standard input is read. Lines between the job's first and last line that report the
leader of the duty, the availability of the store, the configuration in force, and the workers that ran the job's tasks
are shown as well; they begin with '|'.

Options:
    -h, --help        Show this text.
";

/// Prefixes, after the time and the level, of lines that report the state of a node.
const NODE_STATE_PREFIXES: &[&str] = &[
    "duty: taken over",
    "duty: holds",
    "duty: given back",
    "duty: lost",
    "duty: superseded",
    "holder: inherits",
    "store: lost",
    "store: regained",
    "config: in force",
    "node: start",
    "node: stop",
];
/// Prefixes of lines that report the state of a worker.
const WORKER_STATE_PREFIXES: &[&str] = &[
    "holder: worker lapsed",
    "holder: worker gone",
    "holder: worker silent",
    "holder: worker leaves",
    "holder: worker restarted",
];

/// Parsed line of a log.
struct Line {
    /// Date and time, in a format that sorts chronologically as text.
    at: String,
    node: String,
    text: String,
}

pub fn run(argv: &[OsString]) -> Result<ExitCode, util::Error> {
    use lexopt::prelude::*;

    let mut id = None;
    let mut files: Vec<PathBuf> = Vec::new();
    let mut parser = util::parser(argv);
    while let Some(arg) = parser.next()? {
        match arg {
            Value(value) if id.is_none() => id = Some(value.string()?),
            Value(value) => files.push(value.into()),
            Short('h') | Long("help") => return Ok(util::help(USAGE)),
            other => return Err(other.unexpected().into()),
        }
    }
    let id = id.ok_or_else(|| util::Error::usage(USAGE))?;
    let lines = read(&files)?;
    let shown = history(&lines, &id);
    if shown.is_empty() {
        let message = format!("no log line contains {id}");
        return Err(util::Error::failed(message));
    }
    for (line, has_id) in shown {
        let marker = if has_id { ' ' } else { '|' };
        println!("{marker} {} {} {}", line.at, line.node, line.text);
    }
    Ok(ExitCode::SUCCESS)
}

fn read(files: &[PathBuf]) -> Result<Vec<Line>, util::Error> {
    let mut lines = Vec::new();
    if files.is_empty() {
        let mut bytes = Vec::new();
        let mut stdin = io::stdin();
        stdin.read_to_end(&mut bytes).map_err(util::Error::failed)?;
        parse(&bytes, "-", &mut lines);
    }
    for file in files {
        let bytes = fs::read(file);
        let bytes =
            bytes.map_err(|error| util::Error::failed(format!("{}: {error}", file.display())))?;
        parse(&bytes, &node_name(file), &mut lines);
    }
    // The sort is stable, so lines of one node keep their order.
    lines.sort_by(|a, b| a.at.cmp(&b.at));
    Ok(lines)
}

fn node_name(file: &Path) -> String {
    let stem = file.file_stem().unwrap_or(file.as_os_str());
    stem.to_string_lossy().into_owned()
}

fn parse(bytes: &[u8], node: &str, lines: &mut Vec<Line>) {
    // A log can be truncated in the middle of a line, or of a character.
    let text = String::from_utf8_lossy(bytes);
    lines.extend(text.lines().filter_map(|line| parse_line(line, node)));
}

/// Reads `DATE TIME LEVEL TEXT`, optionally preceded by a time and a node's name. Returns `None` for other lines.
fn parse_line(line: &str, node: &str) -> Option<Line> {
    let words: Vec<&str> = line.split_whitespace().take(5).collect();
    let (node, date, time) = match words[..] {
        [date, time, ..] if is_date(date) => (node, date, time),
        [_, node, date, time, _] if is_date(date) => (node, date, time),
        _ => return None,
    };
    let (_, text) = line.split_once(time)?;
    Some(Line {
        at: format!("{date} {time}"),
        node: node.to_owned(),
        text: text.trim().to_owned(),
    })
}

fn is_date(word: &str) -> bool {
    let mut parts = word.split('-');
    let lengths = [4, 2, 2];
    let digits =
        |part: &str, length| part.len() == length && part.bytes().all(|byte| byte.is_ascii_digit());
    lengths
        .iter()
        .all(|&length| parts.next().is_some_and(|part| digits(part, length)))
        && parts.next().is_none()
}

/// Returns the lines that contain the id, marked true, and the lines in between that report related state.
fn history<'a>(lines: &'a [Line], id: &str) -> Vec<(&'a Line, bool)> {
    let matching: Vec<&Line> = lines.iter().filter(|line| line.text.contains(id)).collect();
    let (Some(first), Some(last)) = (matching.first(), matching.last()) else {
        return Vec::new();
    };
    let workers: BTreeSet<&str> = matching
        .iter()
        .filter_map(|line| worker_id(&line.text))
        .collect();
    let (begin, end) = (&first.at, &last.at);
    lines
        .iter()
        .filter(|line| line.at >= *begin && line.at <= *end)
        .filter_map(|line| {
            let has_id = line.text.contains(id);
            (has_id || reports_state(&line.text, &workers)).then_some((line, has_id))
        })
        .collect()
}

fn worker_id(text: &str) -> Option<&str> {
    let (_, rest) = text.split_once("worker=")?;
    rest.split_whitespace().next()
}

fn reports_state(text: &str, workers: &BTreeSet<&str>) -> bool {
    let Some((_level, text)) = text.split_once(' ') else {
        return false;
    };
    let has_prefix = |prefixes: &[&str]| prefixes.iter().any(|prefix| text.starts_with(prefix));
    has_prefix(NODE_STATE_PREFIXES)
        || (has_prefix(WORKER_STATE_PREFIXES)
            && worker_id(text).is_some_and(|name| workers.contains(name)))
}
