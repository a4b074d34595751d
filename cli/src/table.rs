//! Tables on a terminal, plain columns elsewhere.

use std::io::{ErrorKind, IsTerminal, Write};

use crate::util;

/// Starts bold text on a terminal.
const BOLD: &str = "\x1b[1m";
/// Ends it.
const PLAIN: &str = "\x1b[0m";

/// Prints rows under a heading, each column as wide as its widest cell.
///
/// Without a terminal the heading is left out and a tab parts the cells, for other programs to read.
///
/// # Errors
///
/// If standard output can't be written; a reader that has closed it is no error.
pub fn print(heading: &[&str], rows: &[Vec<String>]) -> Result<(), util::Error> {
    let mut stdout = std::io::stdout();
    let text = match stdout.is_terminal() {
        true => columns(heading, rows),
        false => rows.iter().map(|row| row.join("\t") + "\n").collect(),
    };
    match stdout.write_all(text.as_bytes()) {
        Err(error) if error.kind() != ErrorKind::BrokenPipe => Err(util::Error::failed(error)),
        _ => Ok(()),
    }
}

fn columns(heading: &[&str], rows: &[Vec<String>]) -> String {
    let widths = widths(heading, rows);
    let heading: Vec<_> = heading.iter().map(|cell| (*cell).to_owned()).collect();
    let mut text = format!("{BOLD}{}{PLAIN}\n", padded(&heading, &widths));
    for row in rows {
        text.push_str(&padded(row, &widths));
        text.push('\n');
    }
    text
}

fn widths(heading: &[&str], rows: &[Vec<String>]) -> Vec<usize> {
    let mut widths: Vec<_> = heading.iter().map(|cell| cell.chars().count()).collect();
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    widths
}

fn padded(cells: &[String], widths: &[usize]) -> String {
    let padded = cells.iter().zip(widths);
    let padded: Vec<_> = padded
        .map(|(cell, width)| format!("{cell:<width$}"))
        .collect();
    padded.join("  ").trim_end().to_owned()
}
