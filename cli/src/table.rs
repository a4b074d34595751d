//! Tables on a terminal, plain columns elsewhere.

use std::io::IsTerminal;

/// Starts bold text on a terminal.
const BOLD: &str = "\x1b[1m";
/// Ends it.
const PLAIN: &str = "\x1b[0m";

/// Prints rows under a heading, each column as wide as its widest cell.
///
/// Without a terminal the heading is left out and a tab parts the cells, for other programs to read.
pub fn print(heading: &[&str], rows: &[Vec<String>]) {
    if !std::io::stdout().is_terminal() {
        for row in rows {
            println!("{}", row.join("\t"));
        }
        return;
    }
    let widths = widths(heading, rows);
    let heading: Vec<_> = heading.iter().map(|cell| (*cell).to_owned()).collect();
    println!("{BOLD}{}{PLAIN}", padded(&heading, &widths));
    for row in rows {
        println!("{}", padded(row, &widths));
    }
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
