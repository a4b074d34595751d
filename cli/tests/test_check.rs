use crate::workdir;
use crate::workdir::Workdir;

#[test]
fn accepts_the_examples() {
    let work = Workdir::create_empty();
    work.create(
        "ok.toml",
        &workdir::example("cadenas/services/reservations.toml"),
    );
    let output = work.run(&["check", "ok.toml"]);
    assert!(output.status.success(), "{output:?}");
    assert_eq!(workdir::stdout(&output), "");
}

#[test]
fn names_file_and_unknown_key() {
    let work = Workdir::create_empty();
    let text = workdir::example("cadenas/services/reservations.toml");
    work.create("bad.toml", &text.replace("min_runners", "min_runner"));
    let output = work.run(&["check", "bad.toml"]);
    assert_eq!(output.status.code(), Some(1));
    let printed = workdir::stdout(&output);
    assert!(printed.contains("bad.toml:11: "), "{printed}");
    assert!(printed.contains("min_runner"), "{printed}");
}

#[test]
fn names_services_that_stand_twice() {
    let work = Workdir::create_empty();
    let text = workdir::example("cadenas/services/reservations.toml");
    work.create("one.toml", &text);
    work.create("two.toml", &text);
    let output = work.run(&["check", "one.toml", "two.toml"]);
    assert_eq!(output.status.code(), Some(1));
    let printed = workdir::stdout(&output);
    assert!(printed.starts_with("two.toml:1: "), "{printed}");
}
