//! Reads fields of a TOML table and collects what is wrong with them, each with its line.

use std::collections::HashSet;
use std::fmt::Display;
use std::ops::{Range, RangeInclusive};

use toml::Spanned;
use toml::de::{DeTable, DeValue};

use crate::document::check::Problem;

/// Collects problems in a text.
pub(super) struct Problems<'a> {
    text: &'a str,
    found: Vec<Problem>,
}

impl<'a> Problems<'a> {
    /// No problems yet in a text.
    pub(super) fn new(text: &'a str) -> Self {
        Self {
            text,
            found: Vec::new(),
        }
    }

    /// Adds a problem at a place of the text.
    pub(super) fn add<M>(&mut self, place: Range<usize>, message: M)
    where
        M: Display,
    {
        let before = &self.text.as_bytes()[..place.start.min(self.text.len())];
        let line = 1 + before.iter().filter(|byte| **byte == b'\n').count();
        let message = message.to_string();
        self.found.push(Problem { line, message });
    }

    /// All problems, by line.
    pub(super) fn into_found(mut self) -> Vec<Problem> {
        self.found.sort_by_key(|problem| problem.line);
        self.found
    }
}

/// A number that a field may hold.
pub(super) trait Number: Copy + Display + PartialOrd + TryFrom<u64> {}

impl Number for u32 {}
impl Number for u64 {}

/// A table whose fields are taken one by one; what is left over is unknown.
pub(super) struct Table<'t, 'text> {
    name: String,
    place: Range<usize>,
    fields: Option<&'t DeTable<'text>>,
    known: HashSet<&'static str>,
}

impl<'t, 'text> Table<'t, 'text> {
    /// A table under a name, as messages call it.
    pub(super) fn new(name: &str, place: Range<usize>, fields: &'t DeTable<'text>) -> Self {
        Self {
            name: name.to_owned(),
            place,
            fields: Some(fields),
            known: HashSet::new(),
        }
    }

    /// Where the table lies in the text.
    pub(super) fn place(&self) -> Range<usize> {
        self.place.clone()
    }

    /// Where a field lies in the text, or else its table.
    pub(super) fn place_of(&self, field: &str) -> Range<usize> {
        let fields = self.fields.into_iter().flat_map(|fields| fields.iter());
        let mut named = fields.filter(|(key, _)| key.get_ref() == field);
        named.next().map_or(self.place(), |(key, _)| key.span())
    }

    fn take(&mut self, field: &'static str) -> Option<&'t Spanned<DeValue<'text>>> {
        self.known.insert(field);
        self.fields?.get(field)
    }

    fn missing(&self, field: &str, problems: &mut Problems<'_>) {
        if self.fields.is_some() {
            let message = format!("`{field}` is missing in {}", self.name);
            problems.add(self.place(), message);
        }
    }

    /// A number within bounds; the least one if it is missing or wrong.
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

    /// A number within bounds, or the default if it is missing.
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
            DeValue::Integer(integer) => plain_number(integer.as_str(), integer.radix()),
            _ => None,
        };
        let number = number.and_then(|number| N::try_from(number).ok());
        match number.filter(|number| allowed.contains(number)) {
            Some(number) => number,
            None => {
                let (least, most) = (allowed.start(), allowed.end());
                let message = format!(
                    "`{field}` must be a whole number from {least} to {most}, without a unit"
                );
                problems.add(value.span(), message);
                default
            }
        }
    }

    /// A text; empty if it is missing or wrong.
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

    /// A text if it is there.
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

    /// A truth value, or false if it is missing or wrong.
    pub(super) fn truth(&mut self, field: &'static str, problems: &mut Problems<'_>) -> bool {
        let Some(value) = self.take(field) else {
            return false;
        };
        match value.get_ref() {
            DeValue::Boolean(truth) => *truth,
            _ => {
                problems.add(value.span(), format!("`{field}` must be true or false"));
                false
            }
        }
    }

    /// A table within this one; without fields if it is missing or wrong.
    pub(super) fn table(
        &mut self,
        field: &'static str,
        required: bool,
        problems: &mut Problems<'_>,
    ) -> Table<'t, 'text> {
        let name = format!("[{field}]");
        let empty = Table {
            name: name.clone(),
            place: self.place(),
            fields: None,
            known: HashSet::new(),
        };
        let Some(value) = self.take(field) else {
            if required {
                problems.add(self.place(), format!("{name} is missing"));
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

    /// The tables of an array of tables.
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

    /// Names each field that was not asked for.
    pub(super) fn end(self, problems: &mut Problems<'_>) {
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

fn plain_number(digits: &str, radix: u32) -> Option<u64> {
    u64::from_str_radix(digits, radix).ok()
}
