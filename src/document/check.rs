//! Validates a complete document and reports all problems at once, each with its line and the allowed values.

use std::collections::HashMap;

use derive_more::Display;
use serde::{Deserialize, Serialize};
use toml::de::DeTable;

use crate::document;
use crate::document::reader::{Problems, Table};
use crate::id;

/// Maximum length of a name, in bytes.
const NAME_MAX_BYTES: usize = 40;
/// Maximum number of runners of a service.
const RUNNERS_MAX: u32 = 2_000;
/// Maximum number of slots of a runner.
const SLOTS_MAX: u32 = 1_024;
/// Maximum number of connections of a runner.
const CONNECTIONS_MAX: u32 = 65_536;
/// Maximum deadline, in milliseconds.
const DEADLINE_MAX_MS: u64 = 3_600_000;
/// Maximum weight in the fair shares.
const SHARE_MAX: u32 = 1_000;
/// Maximum size of a body, in KiB.
const BODY_MAX_KIB: u64 = 65_536;
/// Maximum maintenance period, in days.
const PERIOD_MAX_DAYS: u32 = 366;
/// Maximum time limit of a drain, in seconds.
const DRAIN_MAX_S: u64 = 86_400;
/// Maximum absence budget, in runner-minutes.
const ABSENCE_MAX_MIN: u64 = 100_000_000;
/// Minimum absence that a budget must allow for the maintenance of each VM, in minutes.
const MAINTENANCE_PER_VM_MIN: u64 = 5;
/// Maximum quota, in cores, GiB or accelerators.
const QUOTA_MAX: u64 = 1_000_000;
/// The default of [`document::Capacity::slots_per_runner`].
const SLOTS_DEFAULT: u32 = 8;
/// The default of [`document::Capacity::connections_per_runner`].
const CONNECTIONS_DEFAULT: u32 = 64;
/// The default of [`document::Kind::body_max_kib`], in KiB.
const BODY_DEFAULT_KIB: u64 = 256;
/// The HTTP methods that a kind can have.
const METHODS: [&str; 6] = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"];

/// A validation error in a document.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[display("{line}: {message}")]
pub struct Problem {
    /// The line number, starting from 1.
    pub line: usize,
    /// The error and the allowed values.
    pub message: String,
}

/// Parses and validates a document, reporting all problems.
///
/// # Errors
///
/// Returns all problems, sorted by line: text that is not TOML, keys that are missing, unknown or of the wrong type,
/// values out of bounds, duplicates, and budgets that the capacity can't meet.
pub fn check(text: &str) -> Result<document::Document, Vec<Problem>> {
    let mut problems = Problems::new(text);
    let (root, errors) = DeTable::parse_recoverable(text);
    for error in &errors {
        problems.add(error.span().unwrap_or(0..0), error.message());
    }
    if !errors.is_empty() {
        return Err(problems.into_sorted());
    }
    let mut table = Table::new("the document", 0..0, root.get_ref());
    let document = read_document(&mut table, &mut problems);
    table.report_unknown_keys(&mut problems);
    match problems.into_sorted() {
        found if found.is_empty() => Ok(document),
        found => Err(found),
    }
}

fn read_document(table: &mut Table<'_, '_>, problems: &mut Problems<'_>) -> document::Document {
    let service = id::Service::from(name(table, "service", problems));
    let team = id::Team::from(name(table, "team", problems));
    let mut capacity_table = table.table("capacity", true, problems);
    let capacity = read_capacity(&mut capacity_table, problems);
    let mut availability_table = table.table("availability", true, problems);
    let availability = read_availability(&mut availability_table, &capacity, problems);
    let mut maintenance_table = table.table("maintenance", false, problems);
    let maintenance = read_maintenance(&mut maintenance_table, &capacity, &availability, problems);
    let mut quota_table = table.table("quota", false, problems);
    let quota = read_quota(&mut quota_table, problems);
    let kinds = read_kinds(table, problems);
    for table in [
        capacity_table,
        availability_table,
        maintenance_table,
        quota_table,
    ] {
        table.report_unknown_keys(problems);
    }
    document::Document {
        service,
        team,
        capacity,
        availability,
        maintenance,
        quota,
        kinds,
    }
}

fn name(table: &mut Table<'_, '_>, field: &'static str, problems: &mut Problems<'_>) -> String {
    let text = table.text(field, problems);
    let valid_characters = text
        .bytes()
        .all(|byte| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-');
    let valid_start = text.bytes().next().is_none_or(|byte| byte != b'-');
    if !valid_characters || !valid_start || text.len() > NAME_MAX_BYTES {
        let message = format!(
            "`{field}` must be lower-case letters, digits and dashes, {NAME_MAX_BYTES} at most, \
             not starting with a dash"
        );
        problems.add(table.span_of(field), message);
    }
    text
}

fn read_capacity(table: &mut Table<'_, '_>, problems: &mut Problems<'_>) -> document::Capacity {
    let pool = id::Pool::from(name(table, "pool", problems));
    let runners = table.number("runners", 1..=RUNNERS_MAX, problems);
    let slots_per_runner =
        table.number_or("slots_per_runner", 1..=SLOTS_MAX, SLOTS_DEFAULT, problems);
    let connections_per_runner = table.number_or(
        "connections_per_runner",
        1..=CONNECTIONS_MAX,
        CONNECTIONS_DEFAULT,
        problems,
    );
    if connections_per_runner < slots_per_runner {
        let message = format!(
            "`connections_per_runner` must be at least `slots_per_runner`, {slots_per_runner}"
        );
        problems.add(table.span_of("connections_per_runner"), message);
    }
    document::Capacity {
        pool,
        runners,
        slots_per_runner,
        connections_per_runner,
    }
}

fn read_availability(
    table: &mut Table<'_, '_>,
    capacity: &document::Capacity,
    problems: &mut Problems<'_>,
) -> document::Availability {
    let min_runners = table.number("min_runners", 0..=RUNNERS_MAX, problems);
    let absence_budget_min = table.number("absence_budget_min", 0..=ABSENCE_MAX_MIN, problems);
    let runners = capacity.runners;
    if min_runners >= runners {
        let message = format!(
            "`min_runners` must be less than `runners`, {runners}, so that one VM can be maintained"
        );
        problems.add(table.span_of("min_runners"), message);
    }
    let required_min = u64::from(runners) * MAINTENANCE_PER_VM_MIN;
    if absence_budget_min < required_min {
        let message = format!(
            "`absence_budget_min` must be at least {required_min}: {MAINTENANCE_PER_VM_MIN} minutes of \
             maintenance for each of {runners} runners"
        );
        problems.add(table.span_of("absence_budget_min"), message);
    }
    document::Availability {
        min_runners,
        absence_budget_min,
    }
}

fn read_maintenance(
    table: &mut Table<'_, '_>,
    capacity: &document::Capacity,
    availability: &document::Availability,
    problems: &mut Problems<'_>,
) -> document::Maintenance {
    let default = document::Maintenance::default();
    let max_at_once = table.number_or(
        "max_at_once",
        1..=RUNNERS_MAX,
        default.max_at_once,
        problems,
    );
    let period_days = table.number_or(
        "period_days",
        1..=PERIOD_MAX_DAYS,
        default.period_days,
        problems,
    );
    let drain_limit_s = table.number_or(
        "drain_limit_s",
        1..=DRAIN_MAX_S,
        default.drain_limit_s,
        problems,
    );
    let paused = table.boolean("paused", problems);
    let max_absent = capacity.runners.saturating_sub(availability.min_runners);
    if max_absent > 0 && max_at_once > max_absent {
        let message =
            format!("`max_at_once` must be at most `runners` less `min_runners`, {max_absent}");
        problems.add(table.span_of("max_at_once"), message);
    }
    document::Maintenance {
        max_at_once,
        period_days,
        drain_limit_s,
        paused,
    }
}

fn read_quota(table: &mut Table<'_, '_>, problems: &mut Problems<'_>) -> document::Quota {
    document::Quota {
        cores: table.number_or("cores", 0..=QUOTA_MAX, 0, problems),
        memory_gib: table.number_or("memory_gib", 0..=QUOTA_MAX, 0, problems),
        accelerators: table.number_or("accelerators", 0..=1_000_000, 0, problems),
    }
}

fn read_kinds(table: &mut Table<'_, '_>, problems: &mut Problems<'_>) -> Vec<document::Kind> {
    let mut kinds: Vec<document::Kind> = Vec::new();
    for mut table in table.tables("kind", problems) {
        let kind = read_kind(&mut table, problems);
        if kinds.iter().any(|other| other.name == kind.name) {
            let message = format!("another kind has the name `{}` already", kind.name);
            problems.add(table.span_of("name"), message);
        }
        let same_route =
            |other: &&document::Kind| other.method == kind.method && other.path == kind.path;
        if let Some(other) = kinds.iter().find(same_route) {
            let message = format!("the kind `{}` has the same method and path", other.name);
            problems.add(table.span_of("path"), message);
        }
        kinds.push(kind);
        table.report_unknown_keys(problems);
    }
    kinds
}

fn read_kind(table: &mut Table<'_, '_>, problems: &mut Problems<'_>) -> document::Kind {
    let name = id::Kind::from(name(table, "name", problems));
    let method = table.text("method", problems);
    if !method.is_empty() && !METHODS.contains(&method.as_str()) {
        let message = format!("`method` must be one of {}", METHODS.join(", "));
        problems.add(table.span_of("method"), message);
    }
    let path = read_path(table, problems);
    let urgency = table.text_or("urgency", "normal", problems);
    let urgency = urgency.parse().unwrap_or_else(|_| {
        let message = "`urgency` must be one of batch, normal, urgent";
        problems.add(table.span_of("urgency"), message);
        document::Urgency::Normal
    });
    document::Kind {
        name,
        method,
        path,
        urgency,
        idempotent: table.boolean("idempotent", problems),
        deadline_ms: table.number("deadline_ms", 1..=DEADLINE_MAX_MS, problems),
        share: table.number_or("share", 1..=SHARE_MAX, 1, problems),
        body_max_kib: table.number_or("body_max_kib", 0..=BODY_MAX_KIB, BODY_DEFAULT_KIB, problems),
    }
}

fn read_path(table: &mut Table<'_, '_>, problems: &mut Problems<'_>) -> String {
    let path = table.text("path", problems);
    let prefix = path.strip_suffix('*').unwrap_or(&path);
    let valid_characters = prefix
        .bytes()
        .all(|byte| byte.is_ascii_graphic() && !matches!(byte, b'*' | b'?' | b'#'));
    if !path.is_empty() && (!path.starts_with('/') || !valid_characters) {
        let message = "`path` must start with /, without query, with * at its end only";
        problems.add(table.span_of("path"), message);
    }
    path
}

/// Reports conflicts between documents: services defined more than once, and pools claimed by two services.
///
/// The result has an entry for each problem: the index of the later document, and the message.
pub fn check_conflicts(documents: &[&document::Document]) -> Vec<(usize, String)> {
    let mut services: HashMap<&id::Service, usize> = HashMap::new();
    let mut pools: HashMap<&id::Pool, usize> = HashMap::new();
    let mut problems = Vec::new();
    for (index, document) in documents.iter().enumerate() {
        if services.insert(&document.service, index).is_some() {
            let message = format!(
                "another document is of service `{}` as well",
                document.service
            );
            problems.push((index, message));
        } else if let Some(other) = pools.insert(&document.capacity.pool, index) {
            let pool = &document.capacity.pool;
            let owner = &documents[other].service;
            problems.push((index, format!("pool `{pool}` belongs to service `{owner}`")));
        }
    }
    problems
}
