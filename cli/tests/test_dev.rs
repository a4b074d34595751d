use crate::workdir;
use crate::workdir::Workdir;

#[test]
fn serves_the_example_and_keeps_the_promises() {
    let work = Workdir::create_empty();
    let dir = workdir::repository("examples/cadenas");
    let dir = dir.to_str().expect("the path is text");
    let output = work.run(&["dev", "--run-s", "2", "--json", dir]);
    let printed = workdir::stdout(&output);
    assert!(output.status.success(), "{output:?}");
    let last = printed.lines().last().expect("a line was printed");
    let summary: serde_json::Value = serde_json::from_str(last).expect("the line is JSON");
    let requests = summary["requests_total"].as_u64().expect("a number");
    assert!(requests > 0);
    assert_eq!(summary["answered_total"].as_u64(), Some(requests));
}
