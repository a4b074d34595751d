//! Line plots as SVG.

use std::fmt::Write;

/// Width of a plot, in pixels.
const WIDTH_PX: f64 = 760.0;
/// Height of a plot, in pixels.
const HEIGHT_PX: f64 = 420.0;
/// Room for the axes' labels, in pixels.
const MARGIN_PX: f64 = 70.0;
/// Gridlines along each axis.
const GRID_LINES: u32 = 5;
/// Colours of the series, one after another.
const COLOURS: [&str; 6] = [
    "#1b6ca8", "#c8553d", "#3b8b5a", "#8a4fa3", "#b8860b", "#444444",
];

/// A point of a series.
#[derive(Clone, Copy, Debug)]
pub struct Point {
    /// Along the horizontal axis.
    pub x: f64,
    /// Along the vertical axis.
    pub y: f64,
}

/// A line of a plot.
#[derive(Clone, Debug)]
pub struct Series {
    /// Its name in the legend.
    pub name: String,
    /// Its points, by x.
    pub points: Vec<Point>,
}

/// The part of the plane that is drawn; the vertical axis starts at zero.
struct Frame {
    x_min: f64,
    x_max: f64,
    y_max: f64,
}

impl Frame {
    fn around(series: &[Series]) -> Self {
        let points = || series.iter().flat_map(|series| &series.points);
        let x_min = points().map(|point| point.x).fold(f64::INFINITY, f64::min);
        let x_max = points()
            .map(|point| point.x)
            .fold(f64::NEG_INFINITY, f64::max);
        let y_max = points().map(|point| point.y).fold(0.0, f64::max);
        Self {
            x_min,
            x_max: if x_max > x_min { x_max } else { x_min + 1.0 },
            y_max: if y_max > 0.0 { y_max } else { 1.0 },
        }
    }

    fn left(&self, x: f64) -> f64 {
        let share = (x - self.x_min) / (self.x_max - self.x_min);
        MARGIN_PX + share * (WIDTH_PX - 2.0 * MARGIN_PX)
    }

    fn top(&self, y: f64) -> f64 {
        let share = y / self.y_max;
        HEIGHT_PX - MARGIN_PX - share * (HEIGHT_PX - 2.0 * MARGIN_PX)
    }
}

/// Draws series over one horizontal axis.
pub fn draw(title: &str, x_name: &str, series: &[Series]) -> String {
    let frame = Frame::around(series);
    let mut svg = String::new();
    svg.push_str(&format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{WIDTH_PX}\" height=\"{HEIGHT_PX}\" \
         font-family=\"sans-serif\" font-size=\"12\">\n<rect width=\"100%\" height=\"100%\" \
         fill=\"white\"/>\n"
    ));
    text(&mut svg, WIDTH_PX / 2.0, 24.0, "middle", "black", title);
    text(
        &mut svg,
        WIDTH_PX / 2.0,
        HEIGHT_PX - 20.0,
        "middle",
        "black",
        x_name,
    );
    draw_grid(&mut svg, &frame);
    for (index, series) in series.iter().enumerate() {
        draw_series(&mut svg, &frame, series, index);
    }
    svg.push_str("</svg>\n");
    svg
}

fn draw_grid(svg: &mut String, frame: &Frame) {
    for step in 0..=GRID_LINES {
        let share = f64::from(step) / f64::from(GRID_LINES);
        let x = frame.x_min + share * (frame.x_max - frame.x_min);
        let y = share * frame.y_max;
        let (left, top) = (frame.left(x), frame.top(y));
        line(svg, left, MARGIN_PX, left, HEIGHT_PX - MARGIN_PX);
        line(svg, MARGIN_PX, top, WIDTH_PX - MARGIN_PX, top);
        text(
            svg,
            left,
            HEIGHT_PX - MARGIN_PX + 18.0,
            "middle",
            "black",
            &short(x),
        );
        text(svg, MARGIN_PX - 8.0, top + 4.0, "end", "black", &short(y));
    }
}

fn draw_series(svg: &mut String, frame: &Frame, series: &Series, index: usize) {
    let colour = COLOURS[index % COLOURS.len()];
    let mut path = String::new();
    for point in &series.points {
        let (left, top) = (frame.left(point.x), frame.top(point.y));
        // Writing to a text can't fail.
        let _ = write!(path, "{left:.1},{top:.1} ");
        svg.push_str(&format!(
            "<circle cx=\"{left:.1}\" cy=\"{top:.1}\" r=\"3\" fill=\"{colour}\"/>\n"
        ));
    }
    svg.push_str(&format!(
        "<polyline points=\"{}\" fill=\"none\" stroke=\"{colour}\" stroke-width=\"2\"/>\n",
        path.trim_end()
    ));
    let top = MARGIN_PX - 14.0 + 16.0 * index as f64;
    text(svg, WIDTH_PX - MARGIN_PX, top, "end", colour, &series.name);
}

fn line(svg: &mut String, x1: f64, y1: f64, x2: f64, y2: f64) {
    svg.push_str(&format!(
        "<line x1=\"{x1:.1}\" y1=\"{y1:.1}\" x2=\"{x2:.1}\" y2=\"{y2:.1}\" stroke=\"#dddddd\"/>\n"
    ));
}

fn text(svg: &mut String, x: f64, y: f64, anchor: &str, colour: &str, text: &str) {
    let escaped = text.replace('&', "&amp;").replace('<', "&lt;");
    svg.push_str(&format!(
        "<text x=\"{x:.1}\" y=\"{y:.1}\" text-anchor=\"{anchor}\" fill=\"{colour}\">{escaped}</text>\n"
    ));
}

fn short(number: f64) -> String {
    match number.abs() {
        size if size >= 100.0 || size == 0.0 => format!("{number:.0}"),
        size if size >= 1.0 => format!("{number:.1}"),
        _ => format!("{number:.3}"),
    }
}
