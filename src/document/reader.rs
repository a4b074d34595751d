//! Reads fields of a TOML table and collects validation errors, each with its line.

use std::collections::HashSet;
use std::fmt::Display;
use std::ops::{Range, RangeInclusive};

use toml::Spanned;
use toml::de::{DeTable, DeValue};

use crate::document::check::Problem;

/// Collects validation errors in a text.
pub(super) struct Problems<'a> {
    text: &'a str,
    found: Vec<Problem>,
}

impl<'a> Problems<'a> {
    /// Creates an empty collection of problems for a text.
    pub(super) fn new(text: &'a str) -> Self {
        Self {
            text,
            found: Vec::new(),
        }
    }

    /// Adds a problem at a byte range of the text.
    pub(super) fn add<M>(&mut self, span: Range<usize>, message: M)
    where
        M: Display,
    {
        let before = &self.text.as_bytes()[..span.start.min(self.text.len())];
        let line = 1 + before.iter().filter(|byte| **byte == b'\n').count();
        let message = message.to_string();
        self.found.push(Problem { line, message });
    }

    /// Returns all problems, sorted by line.
    pub(super) fn into_sorted(mut self) -> Vec<Problem> {
        self.found.sort_by_key(|problem| problem.line);
        self.found
    }
}

/// An unsigned integer type that a field can hold.
pub(super) trait Number: Copy + Display + PartialOrd + TryFrom<u64> {}

impl Number for u32 {}
impl Number for u64 {}

/// A table that records which fields are read, so that the remaining keys can be reported as unknown.
pub(super) struct Table<'t, 'text> {
    name: String,
    span: Range<usize>,
    fields: Option<&'t DeTable<'text>>,
    known: HashSet<&'static str>,
}

impl<'t, 'text> Table<'t, 'text> {
    /// Creates a table with the name that messages use for it.
    pub(super) fn new(name: &str, span: Range<usize>, fields: &'t DeTable<'text>) -> Self {
        Self {
            name: name.to_owned(),
            span,
            fields: Some(fields),
            known: HashSet::new(),
        }
    }

    /// Returns the byte range of the table in the text.
    pub(super) fn span(&self) -> Range<usize> {
        self.span.clone()
    }

    /// Returns the byte range of a field's key in the text, or of the table if the field is absent.
    pub(super) fn span_of(&self, field: &str) -> Range<usize> {
        let fields = self.fields.into_iter().flat_map(|fields| fields.iter());
        let mut named = fields.filter(|(key, _)| key.get_ref() == field);
        named.next().map_or(self.span(), |(key, _)| key.span())
    }

    fn take(&mut self, field: &'static str) -> Option<&'t Spanned<DeValue<'text>>> {
        self.known.insert(field);
        self.fields?.get(field)
    }

    fn missing(&self, field: &str, problems: &mut Problems<'_>) {
        if self.fields.is_some() {
            let message = format!("`{field}` is missing in {}", self.name);
            problems.add(self.span(), message);
        }
    }

    /// Reads a required number within bounds; returns the minimum if it is missing or invalid.
    pub(super) fn number<N>(
        &mut self,
        field: &'static str,
        allowed: RangeInclusive<N>,
        problems: &mut Problems<'_>,
    ) -> N
    where
        N: Number,
    {
        if self.take(field).is_none() {
            self.missing(field, problems);
        }
        self.number_or(field, allowed.clone(), *allowed.start(), problems)
    }

    /// Reads a number within bounds; returns the default if it is missing or invalid.
    pub(super) fn number_or<N>(
        &mut self,
        field: &'static str,
        allowed: RangeInclusive<N>,
        default: N,
        problems: &mut Problems<'_>,
    ) -> N
    where
        N: Number,
    {
        let Some(value) = self.take(field) else {
            return default;
        };
        let number = match value.get_ref() {
            DeValue::Integer(integer) => parse_integer(integer.as_str(), integer.radix()),
            _ => None,
        };
        let number = number.and_then(|number| N::try_from(number).ok());
        match number.filter(|number| allowed.contains(number)) {
            Some(number) => number,
            None => {
                let (min, max) = (allowed.start(), allowed.end());
                let message =
                    format!("`{field}` must be a whole number from {min} to {max}, without a unit");
                problems.add(value.span(), message);
                default
            }
        }
    }

    /// Reads a required string; returns an empty one if it is missing or invalid.
    pub(super) fn text(&mut self, field: &'static str, problems: &mut Problems<'_>) -> String {
        match self.take(field) {
            Some(value) => match value.get_ref() {
                DeValue::String(text) => text.clone().into_owned(),
                _ => {
                    problems.add(value.span(), format!("`{field}` must be a text in quotes"));
                    String::new()
                }
            },
            None => {
                self.missing(field, problems);
                String::new()
            }
        }
    }

    /// Reads an optional string; returns the default if it is missing.
    pub(super) fn text_or(
        &mut self,
        field: &'static str,
        default: &str,
        problems: &mut Problems<'_>,
    ) -> String {
        match self.take(field) {
            Some(_) => self.text(field, problems),
            None => default.to_owned(),
        }
    }

    /// Reads an optional boolean; returns false if it is missing or invalid.
    pub(super) fn boolean(&mut self, field: &'static str, problems: &mut Problems<'_>) -> bool {
        let Some(value) = self.take(field) else {
            return false;
        };
        match value.get_ref() {
            DeValue::Boolean(boolean) => *boolean,
            _ => {
                problems.add(value.span(), format!("`{field}` must be true or false"));
                false
            }
        }
    }

    /// Reads a nested table; returns one without fields if it is missing or invalid.
    pub(super) fn table(
        &mut self,
        field: &'static str,
        required: bool,
        problems: &mut Problems<'_>,
    ) -> Table<'t, 'text> {
        let name = format!("[{field}]");
        let empty = Table {
            name: name.clone(),
            span: self.span(),
            fields: None,
            known: HashSet::new(),
        };
        let Some(value) = self.take(field) else {
            if required {
                problems.add(self.span(), format!("{name} is missing"));
            }
            return empty;
        };
        match value.get_ref() {
            DeValue::Table(fields) => Table::new(&name, value.span(), fields),
            _ => {
                problems.add(value.span(), format!("`{field}` must be a table: {name}"));
                empty
            }
        }
    }

    /// Reads an array of tables; returns none if it is missing or invalid.
    pub(super) fn tables(
        &mut self,
        field: &'static str,
        problems: &mut Problems<'_>,
    ) -> Vec<Table<'t, 'text>> {
        let Some(value) = self.take(field) else {
            return Vec::new();
        };
        let name = format!("[[{field}]]");
        let DeValue::Array(items) = value.get_ref() else {
            problems.add(value.span(), format!("`{field}` must be tables: {name}"));
            return Vec::new();
        };
        let mut tables = Vec::new();
        for item in items {
            match item.get_ref() {
                DeValue::Table(fields) => tables.push(Table::new(&name, item.span(), fields)),
                _ => problems.add(item.span(), format!("`{field}` must be tables: {name}")),
            }
        }
        tables
    }

    /// Reports each key that was not read.
    pub(super) fn report_unknown_keys(self, problems: &mut Problems<'_>) {
        let Some(fields) = self.fields else {
            return;
        };
        let mut known: Vec<_> = self.known.iter().copied().collect();
        known.sort_unstable();
        let allowed = known.join(", ");
        for key in fields.keys() {
            if !self.known.contains(key.get_ref().as_ref()) {
                let field = key.get_ref();
                let message = format!(
                    "unknown key `{field}` in {}; known are: {allowed}",
                    self.name
                );
                problems.add(key.span(), message);
            }
        }
    }
}

fn parse_integer(digits: &str, radix: u32) -> Option<u64> {
    u64::from_str_radix(digits, radix).ok()
}
