//! Prints tables: aligned columns on a terminal, tab-separated values elsewhere.

use std::io::{ErrorKind, IsTerminal, Write};

use crate::util;

/// ANSI escape sequence that starts bold text.
const BOLD: &str = "\x1b[1m";
/// ANSI escape sequence that resets the text style.
const RESET: &str = "\x1b[0m";

/// Prints rows under a heading, with each column as wide as its widest cell.
///
/// If standard output is not a terminal, the heading is omitted and cells are separated by tabs, for use by other
/// programs.
///
/// # Errors
///
/// Returns an error if standard output cannot be written. A closed pipe is not an error.
pub fn print(heading: &[&str], rows: &[Vec<String>]) -> Result<(), util::Error> {
    let mut stdout = std::io::stdout();
    let text = match stdout.is_terminal() {
        true => aligned(heading, rows),
        false => rows.iter().map(|row| row.join("\t") + "\n").collect(),
    };
    match stdout.write_all(text.as_bytes()) {
        Err(error) if error.kind() != ErrorKind::BrokenPipe => Err(util::Error::failed(error)),
        _ => Ok(()),
    }
}

fn aligned(heading: &[&str], rows: &[Vec<String>]) -> String {
    let widths = column_widths(heading, rows);
    let heading: Vec<_> = heading.iter().map(|cell| (*cell).to_owned()).collect();
    let mut text = format!("{BOLD}{}{RESET}\n", pad_row(&heading, &widths));
    for row in rows {
        text.push_str(&pad_row(row, &widths));
        text.push('\n');
    }
    text
}

fn column_widths(heading: &[&str], rows: &[Vec<String>]) -> Vec<usize> {
    let mut widths: Vec<_> = heading.iter().map(|cell| cell.chars().count()).collect();
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    widths
}

fn pad_row(cells: &[String], widths: &[usize]) -> String {
    let padded = cells.iter().zip(widths);
    let padded: Vec<_> = padded
        .map(|(cell, width)| format!("{cell:<width$}"))
        .collect();
    padded.join("  ").trim_end().to_owned()
}
