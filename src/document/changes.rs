//! Field-level differences between two versions of a document.

use serde::Serialize;
use serde_json::Value;

use crate::document;

/// A field that differs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Change {
    /// The field, such as `capacity.runners` or `kind.reserve.share`.
    pub field: String,
    /// The old value as JSON; `None` if the field is new.
    pub old: Option<String>,
    /// The new value as JSON; `None` if the field was removed.
    pub new: Option<String>,
}

/// Returns the fields that differ, sorted by name.
pub fn between(old: &document::Document, new: &document::Document) -> Vec<Change> {
    compare(&fields(old), &fields(new))
}

/// Returns all fields of a new document as added.
pub fn added(new: &document::Document) -> Vec<Change> {
    compare(&[], &fields(new))
}

fn compare(old: &[(String, String)], new: &[(String, String)]) -> Vec<Change> {
    let mut changes = Vec::new();
    for (field, value) in old {
        let other = new.iter().find(|(name, _)| name == field);
        let other = other.map(|(_, value)| value);
        if other != Some(value) {
            changes.push(Change {
                field: field.clone(),
                old: Some(value.clone()),
                new: other.cloned(),
            });
        }
    }
    for (field, value) in new {
        if !old.iter().any(|(name, _)| name == field) {
            changes.push(Change {
                field: field.clone(),
                old: None,
                new: Some(value.clone()),
            });
        }
    }
    changes.sort_by(|a, b| a.field.cmp(&b.field));
    changes
}

fn fields(document: &document::Document) -> Vec<(String, String)> {
    let value = serde_json::to_value(document).unwrap_or_default();
    let mut fields = Vec::new();
    flatten("", &value, &mut fields);
    fields
}

fn flatten(prefix: &str, value: &Value, fields: &mut Vec<(String, String)>) {
    match value {
        Value::Object(members) => {
            for (name, member) in members {
                flatten(&join_path(prefix, name), member, fields);
            }
        }
        Value::Array(items) => {
            for (index, item) in items.iter().enumerate() {
                let name = item["name"].as_str();
                let name = name.map_or_else(|| index.to_string(), str::to_owned);
                flatten(&join_path(prefix, &name), item, fields);
            }
        }
        scalar => fields.push((prefix.to_owned(), scalar.to_string())),
    }
}

fn join_path(prefix: &str, name: &str) -> String {
    match prefix {
        "" => name.to_owned(),
        _ => format!("{prefix}.{name}"),
    }
}
