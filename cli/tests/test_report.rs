use crate::workdir;
use crate::workdir::Workdir;

const LINES: &str =
    "{\"nodes\": 40, \"lag_ms\": {\"p99\": 7.5}}\n\n{\"nodes\": 8, \"lag_ms\": {\"p99\": 5}}\n{}\n";

#[test]
fn draws_a_point_for_each_line_that_has_the_fields() {
    let work = Workdir::create_empty();
    work.create("lines.json", LINES);
    let output = work.run(&["report", "--x", "nodes", "--y", "lag_ms.p99", "lines.json"]);
    assert!(output.status.success(), "{output:?}");
    let svg = workdir::stdout(&output);
    assert_eq!(svg.matches("<circle").count(), 2, "{svg}");
}

#[test]
fn names_the_line_that_is_not_json() {
    let work = Workdir::create_empty();
    work.create("lines.json", "{}\nno\n");
    let output = work.run(&["report", "--x", "a", "--y", "b", "lines.json"]);
    assert_eq!(output.status.code(), Some(1));
    let message = String::from_utf8_lossy(&output.stderr);
    assert!(message.contains("lines.json:2: "), "{message}");
}

#[test]
fn refuses_fields_that_no_line_has() {
    let work = Workdir::create_empty();
    work.create("lines.json", LINES);
    let output = work.run(&["report", "--x", "nodes", "--y", "speed", "lines.json"]);
    assert_eq!(output.status.code(), Some(1), "{output:?}");
}
