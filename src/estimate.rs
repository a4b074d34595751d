//! Learned sizes and run times: what a class of jobs really uses, whatever its owner declares.
//!
//! Declared values may be off tenfold either way. Each class keeps the moments of the logarithms of
//! what its tasks used; a class without readings is predicted from its declaration, corrected by the
//! error of all declarations so far, and from the use of all classes. Memory is in MiB, processor time in thousandths of a core, run
//! times in milliseconds.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};
use slotmap::{SlotMap, new_key_type};

use crate::id;
use crate::platform;

new_key_type! {
    /// A class of jobs in a [`Book`].
    pub struct ClassKey;
}

/// The most readings that a class weighs, so that it follows a change of habit.
const READINGS_MAX: f64 = 64.0;
/// Readings that the declaration counts for.
const PRIOR_READINGS: f64 = 0.5;
/// Variance of the logarithm of used over declared before anything is known.
const PRIOR_VARIANCE: f64 = 1.0;
/// Readings over all classes from which they tell of an unknown class.
const OVERALL_READINGS: f64 = 8.0;
/// Least variance of the logarithm of a class's use.
const VARIANCE_MIN: f64 = 0.0025;
/// Standard deviations above the mean in an upper confidence bound.
pub const CONFIDENCE_SD: f64 = 2.0;
/// Readings after which a class's size is held to be known.
const KNOWN_READINGS: f64 = 3.0;

/// Running mean and variance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
struct Moments {
    count: f64,
    mean: f64,
    variance: f64,
}

impl Moments {
    fn add(&mut self, value: f64) {
        self.count = (self.count + 1.0).min(READINGS_MAX);
        let weight = 1.0 / self.count;
        let offset = value - self.mean;
        self.mean += weight * offset;
        self.variance = (1.0 - weight) * (self.variance + weight * offset * offset);
    }

    /// Joins the moments with a prior that counts for [`PRIOR_READINGS`].
    fn with_prior(&self, mean: f64, variance: f64) -> (f64, f64) {
        let total = self.count + PRIOR_READINGS;
        let own = self.count / total;
        let rest = 1.0 - own;
        let offset = mean - self.mean;
        let joined = own * self.mean + rest * mean;
        let spread = own * self.variance + rest * variance + own * rest * offset * offset;
        (joined, spread * (1.0 + 1.0 / (self.count + 1.0)))
    }
}

/// A predicted quantity.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Quantity {
    /// Expected value.
    pub mean: f64,
    /// Variance of a task around its class's mean.
    pub variance: f64,
    /// Standard deviation of the class's mean itself, an error that all tasks of a class share.
    pub common_sd: f64,
}

impl Quantity {
    /// A quantity that is known.
    pub const fn exact(mean: f64) -> Self {
        Self {
            mean,
            variance: 0.0,
            common_sd: 0.0,
        }
    }

    /// The upper confidence bound of this quantity alone.
    pub fn upper(&self) -> f64 {
        let variance = self.variance + self.common_sd * self.common_sd;
        self.mean + CONFIDENCE_SD * variance.sqrt()
    }

    /// The median of a class, the spread of its tasks, and an error of the median of which the part
    /// `common` of the variance stems.
    ///
    /// The confidence bound of the common error is one standard deviation of the logarithm: two would ask
    /// for many times the declared size while a class is unknown.
    fn log_normal(log_median: f64, log_variance: f64, common: f64) -> Self {
        let log_variance = log_variance.max(VARIANCE_MIN);
        let own_variance = log_variance * (1.0 - common);
        let median = log_median.exp();
        let mean = median * (own_variance / 2.0).exp();
        let bound = (log_variance * common).sqrt().exp_m1() * median;
        Self {
            mean,
            variance: mean * mean * own_variance.exp_m1(),
            common_sd: bound / CONFIDENCE_SD,
        }
    }
}

/// What a task is predicted to need.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Need {
    /// Thousandths of a core.
    pub cpu_milli: Quantity,
    /// Memory, in MiB.
    pub memory_mib: Quantity,
    /// Whole accelerators; declarations of these are believed.
    pub accelerators: u32,
}

impl Need {
    /// A need that is known exactly.
    pub fn exact(size: platform::Resources) -> Self {
        Self {
            cpu_milli: Quantity::exact(size.cpu_milli as f64),
            memory_mib: Quantity::exact(size.memory_mib as f64),
            accelerators: size.accelerators,
        }
    }
}

/// Moments of the logarithms of use, by resource.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
struct Class {
    cpu_milli: Moments,
    memory_mib: Moments,
    run_ms: Moments,
}

/// The use of one task, for [`Book::record`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sample {
    /// What its owner declared.
    pub declared: platform::Resources,
    /// Its mean processor use and its peak of memory.
    pub used: platform::Resources,
}

/// What a book knows, as it is kept in the table.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    classes: Vec<(id::Team, String, Class)>,
    cpu_error: Moments,
    memory_error: Moments,
    cpu_overall: Moments,
    memory_overall: Moments,
}

/// What is known of all classes.
#[derive(Clone, Debug, Default)]
pub struct Book {
    classes: SlotMap<ClassKey, Class>,
    by_name: HashMap<(id::Team, String), ClassKey>,
    /// Logarithm of used over declared, over all classes.
    cpu_error: Moments,
    memory_error: Moments,
    /// Logarithm of use, over all classes.
    cpu_overall: Moments,
    memory_overall: Moments,
}

impl Book {
    /// The key of a team's class, made when it is new.
    pub fn class(&mut self, team: &id::Team, name: &str) -> ClassKey {
        if let Some(key) = self.by_name.get(&(team.clone(), name.to_owned())) {
            return *key;
        }
        let key = self.classes.insert(Class::default());
        self.by_name.insert((team.clone(), name.to_owned()), key);
        key
    }

    /// All that is known, to be kept in the table.
    pub fn snapshot(&self) -> Snapshot {
        let names = self.by_name.iter();
        let mut classes: Vec<(id::Team, String, Class)> = names
            .filter(|(_, key)| self.classes[**key].memory_mib.count > 0.0)
            .map(|((team, name), key)| (team.clone(), name.clone(), self.classes[*key].clone()))
            .collect();
        classes.sort_by(|left, right| (&left.0, &left.1).cmp(&(&right.0, &right.1)));
        Snapshot {
            classes,
            cpu_error: self.cpu_error,
            memory_error: self.memory_error,
            cpu_overall: self.cpu_overall,
            memory_overall: self.memory_overall,
        }
    }

    /// Takes what an earlier book knew; classes that are known already keep what they have.
    pub fn restore(&mut self, snapshot: Snapshot) {
        self.cpu_error = snapshot.cpu_error;
        self.memory_error = snapshot.memory_error;
        self.cpu_overall = snapshot.cpu_overall;
        self.memory_overall = snapshot.memory_overall;
        for (team, name, class) in snapshot.classes {
            let key = self.class(&team, &name);
            let known = &mut self.classes[key];
            if known.memory_mib.count <= 0.0 {
                *known = class;
            }
        }
    }

    /// The number of classes.
    pub fn len(&self) -> usize {
        self.classes.len()
    }

    /// True if no class is known.
    pub fn is_empty(&self) -> bool {
        self.classes.is_empty()
    }

    /// True if enough tasks of the class were seen to set its declaration aside.
    pub fn is_known(&self, class: ClassKey) -> bool {
        self.classes[class].memory_mib.count >= KNOWN_READINGS
    }

    /// Predicts what a task of the class needs.
    pub fn predict(&self, class: ClassKey, declared: platform::Resources) -> Need {
        let known = &self.classes[class];
        Need {
            cpu_milli: quantity(
                &known.cpu_milli,
                &prior(&self.cpu_error, &self.cpu_overall, declared.cpu_milli),
            ),
            memory_mib: quantity(
                &known.memory_mib,
                &prior(
                    &self.memory_error,
                    &self.memory_overall,
                    declared.memory_mib,
                ),
            ),
            accelerators: declared.accelerators,
        }
    }

    /// Predicts the run time of a job of the class, in milliseconds.
    pub fn predict_run_ms(&self, class: ClassKey, declared_ms: u64) -> Quantity {
        let known = &self.classes[class];
        let nothing = Moments::default();
        quantity(&known.run_ms, &prior(&nothing, &nothing, declared_ms))
    }

    /// Learns from a task whose use has settled, or that has ended.
    pub fn record(&mut self, class: ClassKey, sample: &Sample) {
        let known = &mut self.classes[class];
        let cpu = log(sample.used.cpu_milli);
        let memory = log(sample.used.memory_mib);
        known.cpu_milli.add(cpu);
        known.memory_mib.add(memory);
        self.cpu_overall.add(cpu);
        self.memory_overall.add(memory);
        self.cpu_error.add(cpu - log(sample.declared.cpu_milli));
        self.memory_error
            .add(memory - log(sample.declared.memory_mib));
    }

    /// Learns the run time of a job that has finished, in milliseconds over all its tasks.
    pub fn record_run(&mut self, class: ClassKey, run_ms: u64) {
        self.classes[class].run_ms.add(log(run_ms));
    }
}

/// What is believed of a class before any of its tasks was read, as a logarithm.
#[derive(Clone, Copy, Debug)]
struct Prior {
    mean: f64,
    variance: f64,
}

/// Weighs a declaration, corrected by the error of others, against the use of all classes, each by how
/// far it was off so far.
fn prior(error: &Moments, overall: &Moments, declared: u64) -> Prior {
    let (bias, variance) = error.with_prior(0.0, PRIOR_VARIANCE);
    let mean = log(declared) + bias;
    if overall.count < OVERALL_READINGS {
        return Prior { mean, variance };
    }
    let by_declared = 1.0 / variance.max(VARIANCE_MIN);
    let by_overall = 1.0 / overall.variance.max(VARIANCE_MIN);
    let weight = by_declared + by_overall;
    Prior {
        mean: (by_declared * mean + by_overall * overall.mean) / weight,
        variance: 1.0 / weight,
    }
}

fn quantity(known: &Moments, prior: &Prior) -> Quantity {
    let (mean, spread) = known.with_prior(prior.mean, prior.variance);
    Quantity::log_normal(mean, spread, 1.0 / (known.count + 1.0))
}

fn log(value: u64) -> f64 {
    (value.max(1) as f64).ln()
}
