use wasabiloft::document;

const RETURNS: &str = include_str!("../examples/cadenas/services/returns.toml");

fn kind(name: &str) -> document::Kind {
    let document = document::parse(RETURNS).expect("the example is a document");
    let mut kinds = document.kinds.into_iter();
    kinds
        .find(|kind| kind.name.as_str() == name)
        .expect("the kind is listed")
}

#[test]
fn a_kind_with_a_star_matches_any_rest() {
    let kind = kind("depot-stock");
    assert!(kind.matches("GET", "/stock/17"));
    assert!(!kind.matches("POST", "/stock/17"));
    assert!(!kind.matches("GET", "/stocks"));
}

#[test]
fn a_kind_without_a_star_matches_its_path_only() {
    let kind = kind("return");
    assert!(kind.matches("POST", "/returns"));
    assert!(!kind.matches("POST", "/returns/1"));
}

#[test]
fn an_unknown_key_is_refused() {
    let text = RETURNS.replace("max_at_once", "max_at_one");
    let error = document::parse(&text).expect_err("the key is unknown");
    assert!(error.to_string().contains("max_at_one"), "{error}");
}

fn problems(text: &str) -> Vec<document::Problem> {
    document::check(text).expect_err("the document is wrong")
}

fn line_of(text: &str, part: &str) -> usize {
    let line = text.lines().position(|line| line.contains(part));
    1 + line.expect("the part is in the text")
}

#[test]
fn every_problem_is_named_at_once_with_its_line() {
    let text = RETURNS
        .replace("runners = 8", "runners = -8")
        .replace("period_days = 28", "period_days = \"28d\"")
        .replace("deadline_ms = 2000", "deadline_s = 2")
        .replace("urgency = \"batch\"", "urgency = \"later\"");
    let problems = problems(&text);
    let lines: Vec<_> = problems.iter().map(|problem| problem.line).collect();
    for part in ["runners = -8", "28d", "deadline_s", "later"] {
        let line = line_of(&text, part);
        assert!(lines.contains(&line), "{part} at {line}: {problems:?}");
    }
}

#[test]
fn budgets_that_the_capacity_cannot_meet_are_refused() {
    let text = RETURNS
        .replace("min_runners = 5", "min_runners = 8")
        .replace("absence_budget_min = 2880", "absence_budget_min = 39");
    let messages: Vec<_> = problems(&text).into_iter().map(|p| p.message).collect();
    assert_eq!(messages.len(), 2, "{messages:?}");
    assert!(
        messages[0].contains("less than `runners`, 8"),
        "{messages:?}"
    );
    assert!(messages[1].contains("at least 40"), "{messages:?}");
}

#[test]
fn a_wave_larger_than_the_budget_is_refused() {
    let text = RETURNS.replace("max_at_once = 2", "max_at_once = 4");
    let problems = problems(&text);
    assert_eq!(problems.len(), 1, "{problems:?}");
    assert!(problems[0].message.contains("at most"), "{problems:?}");
}

#[test]
fn duplicate_kinds_are_refused() {
    let text = RETURNS.replace("name = \"reconcile\"", "name = \"return\"");
    let problems = problems(&text);
    assert_eq!(problems[0].line, {
        let second = text.rfind("name = \"return\"").expect("it was replaced");
        1 + text[..second].matches('\n').count()
    });
}

#[test]
fn text_that_is_not_toml_names_its_line() {
    let text = RETURNS.replace("runners = 8", "runners = ");
    assert_eq!(problems(&text)[0].line, line_of(&text, "runners = "));
}

#[test]
fn services_and_pools_belong_to_one_document() {
    let returns = document::parse(RETURNS).expect("the example is a document");
    let mut other = returns.clone();
    other.service = "depots".into();
    let together = document::check_conflicts(&[&returns, &returns, &other]);
    assert_eq!(together.len(), 2, "{together:?}");
    assert!(together[1].1.contains("pool"), "{together:?}");
}

#[test]
fn changes_name_each_field_that_differs() {
    let old = document::parse(RETURNS).expect("the example is a document");
    let mut new = old.clone();
    new.capacity.runners = 9;
    new.kinds.remove(0);
    let changes = document::changes::between(&old, &new);
    let runners = changes
        .iter()
        .find(|change| change.field == "capacity.runners");
    let runners = runners.expect("the field differs");
    assert_eq!(runners.old.as_deref(), Some("8"));
    assert_eq!(runners.new.as_deref(), Some("9"));
    assert!(changes.iter().any(|change| change.new.is_none()));
    assert!(document::changes::between(&old, &old).is_empty());
}

proptest::proptest! {
    #![proptest_config(crate::fixed_seed(512))]

    #[test]
    fn a_broken_text_is_refused_without_a_panic(
        start in 0usize..1200,
        length in 0usize..40,
        patch in "[ -~\n]{0,12}",
    ) {
        let start = start.min(RETURNS.len());
        let end = (start + length).min(RETURNS.len());
        let text = format!("{}{patch}{}", &RETURNS[..start], &RETURNS[end..]);
        match document::check(&text) {
            Ok(document) => {
                let again = toml::to_string(&document).expect("a document can be written");
                let again = document::check(&again).expect("what was accepted is accepted again");
                proptest::prop_assert_eq!(again, document);
            }
            Err(problems) => {
                let lines = text.matches('\n').count() + 1;
                proptest::prop_assert!(!problems.is_empty());
                proptest::prop_assert!(problems.iter().all(|p| p.line >= 1 && p.line <= lines));
            }
        }
    }
}
