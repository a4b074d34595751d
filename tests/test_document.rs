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
