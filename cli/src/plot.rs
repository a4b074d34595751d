//! Draws line plots as SVG.

use std::fmt::Write;

/// Width of a plot, in pixels.
const WIDTH_PX: f64 = 760.0;
/// Height of a plot, in pixels.
const HEIGHT_PX: f64 = 420.0;
/// Margin of the plot area for titles and labels, in pixels.
const MARGIN_PX: f64 = 70.0;
/// Number of grid intervals along each axis.
const GRID_LINES: u32 = 5;
/// Colours of the series, reused in order when there are more series.
const COLOURS: [&str; 6] = [
    "#1b6ca8", "#c8553d", "#3b8b5a", "#8a4fa3", "#b8860b", "#444444",
];

/// Data point of a series.
#[derive(Clone, Copy, Debug)]
pub struct Point {
    /// Value on the horizontal axis.
    pub x: f64,
    /// Value on the vertical axis.
    pub y: f64,
}

/// Named sequence of points that is drawn as one line.
#[derive(Clone, Debug)]
pub struct Series {
    /// Label in the legend.
    pub name: String,
    /// Data points in ascending order of x.
    pub points: Vec<Point>,
}

/// Range of the data that is drawn. The vertical axis starts at zero.
struct DataRange {
    x_min: f64,
    x_max: f64,
    y_max: f64,
}

impl DataRange {
    fn of(series: &[Series]) -> Self {
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

    fn x_px(&self, x: f64) -> f64 {
        let fraction = (x - self.x_min) / (self.x_max - self.x_min);
        MARGIN_PX + fraction * (WIDTH_PX - 2.0 * MARGIN_PX)
    }

    fn y_px(&self, y: f64) -> f64 {
        let fraction = y / self.y_max;
        HEIGHT_PX - MARGIN_PX - fraction * (HEIGHT_PX - 2.0 * MARGIN_PX)
    }
}

/// Returns an SVG document with the series drawn over one horizontal axis.
pub fn draw(title: &str, x_label: &str, series: &[Series]) -> String {
    let range = DataRange::of(series);
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
        x_label,
    );
    draw_grid(&mut svg, &range);
    for (index, series) in series.iter().enumerate() {
        draw_series(&mut svg, &range, series, index);
    }
    svg.push_str("</svg>\n");
    svg
}

fn draw_grid(svg: &mut String, range: &DataRange) {
    for step in 0..=GRID_LINES {
        let fraction = f64::from(step) / f64::from(GRID_LINES);
        let x = range.x_min + fraction * (range.x_max - range.x_min);
        let y = fraction * range.y_max;
        let (x_px, y_px) = (range.x_px(x), range.y_px(y));
        line(svg, x_px, MARGIN_PX, x_px, HEIGHT_PX - MARGIN_PX);
        line(svg, MARGIN_PX, y_px, WIDTH_PX - MARGIN_PX, y_px);
        text(
            svg,
            x_px,
            HEIGHT_PX - MARGIN_PX + 18.0,
            "middle",
            "black",
            &format_number(x),
        );
        text(
            svg,
            MARGIN_PX - 8.0,
            y_px + 4.0,
            "end",
            "black",
            &format_number(y),
        );
    }
}

fn draw_series(svg: &mut String, range: &DataRange, series: &Series, index: usize) {
    let colour = COLOURS[index % COLOURS.len()];
    let mut path = String::new();
    for point in &series.points {
        let (x_px, y_px) = (range.x_px(point.x), range.y_px(point.y));
        // Writing to a `String` cannot fail.
        let _ = write!(path, "{x_px:.1},{y_px:.1} ");
        svg.push_str(&format!(
            "<circle cx=\"{x_px:.1}\" cy=\"{y_px:.1}\" r=\"3\" fill=\"{colour}\"/>\n"
        ));
    }
    svg.push_str(&format!(
        "<polyline points=\"{}\" fill=\"none\" stroke=\"{colour}\" stroke-width=\"2\"/>\n",
        path.trim_end()
    ));
    let y_px = MARGIN_PX - 14.0 + 16.0 * index as f64;
    text(svg, WIDTH_PX - MARGIN_PX, y_px, "end", colour, &series.name);
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

fn format_number(number: f64) -> String {
    match number.abs() {
        size if size >= 100.0 || size == 0.0 => format!("{number:.0}"),
        size if size >= 1.0 => format!("{number:.1}"),
        _ => format!("{number:.3}"),
    }
}
