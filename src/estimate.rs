//! Learned sizes and run times of job classes, independent of what owners declare.
//!
//! Declared values can be off tenfold in either direction. Each class keeps the moments of the
//! logarithms of its tasks' use. A class without readings is predicted from its declaration,
//! corrected by the error of all declarations so far, and from the use of all classes. Memory is in
//! MiB, processor time in thousandths of a core, run times in milliseconds.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};
use slotmap::{SlotMap, new_key_type};

use crate::id;
use crate::platform;

new_key_type! {
    /// Key of a class of jobs in [`Estimates`].
    pub struct ClassKey;
}

/// Most readings that weigh in a class's moments, so that they follow changes in use.
const READINGS_MAX: f64 = 64.0;
/// Number of readings that the prior counts for.
const PRIOR_READINGS: f64 = 0.5;
/// Prior variance of the logarithm of used over declared.
const PRIOR_VARIANCE: f64 = 1.0;
/// Readings over all classes from which their use is a prior for an unknown class.
const OVERALL_READINGS_MIN: f64 = 8.0;
/// Minimum variance of the logarithm of a class's use.
const VARIANCE_MIN: f64 = 0.0025;
/// Standard deviations above the mean in an upper confidence bound.
pub const CONFIDENCE_SD: f64 = 2.0;
/// Readings after which a class's size counts as known.
const KNOWN_READINGS_MIN: f64 = 3.0;

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

    /// Combines the moments with a prior that counts for [`PRIOR_READINGS`], and returns mean and
    /// variance.
    fn with_prior(&self, mean: f64, variance: f64) -> (f64, f64) {
        let total = self.count + PRIOR_READINGS;
        let own_weight = self.count / total;
        let prior_weight = 1.0 - own_weight;
        let offset = mean - self.mean;
        let combined_mean = own_weight * self.mean + prior_weight * mean;
        let combined_variance = own_weight * self.variance
            + prior_weight * variance
            + own_weight * prior_weight * offset * offset;
        (
            combined_mean,
            combined_variance * (1.0 + 1.0 / (self.count + 1.0)),
        )
    }
}

/// A predicted quantity.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Quantity {
    /// Expected value.
    pub mean: f64,
    /// Variance of single tasks around the mean of their class.
    pub variance: f64,
    /// Standard deviation of the class's mean, an error that all tasks of a class share.
    pub common_sd: f64,
}

impl Quantity {
    /// Returns a quantity that is known exactly.
    pub const fn exact(mean: f64) -> Self {
        Self {
            mean,
            variance: 0.0,
            common_sd: 0.0,
        }
    }

    /// Returns the upper confidence bound of this quantity alone.
    pub fn upper(&self) -> f64 {
        let variance = self.variance + self.common_sd * self.common_sd;
        self.mean + CONFIDENCE_SD * variance.sqrt()
    }

    /// Returns a log-normal quantity; the fraction `common` of the variance is the error of the
    /// class's median, the rest is the spread of its tasks.
    ///
    /// The confidence bound of the common error is one standard deviation of the logarithm: two
    /// would reserve many times the declared size while a class is unknown.
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

/// Predicted need of a task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Need {
    /// Processor time, in thousandths of a core.
    pub cpu_milli: Quantity,
    /// Memory, in MiB.
    pub memory_mib: Quantity,
    /// Number of accelerators, as declared.
    pub accelerators: u32,
}

impl Need {
    /// Returns a need that is known exactly.
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

/// Use of one task, for [`Estimates::record`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sample {
    /// Resources that the owner declared.
    pub declared: platform::Resources,
    /// Mean processor use and peak memory.
    pub used: platform::Resources,
}

/// Stored form of [`Estimates`], as kept in the table.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    classes: Vec<(id::Team, String, Class)>,
    cpu_error: Moments,
    memory_error: Moments,
    cpu_overall: Moments,
    memory_overall: Moments,
}

/// Learned sizes and run times of all classes.
#[derive(Clone, Debug, Default)]
pub struct Estimates {
    classes: SlotMap<ClassKey, Class>,
    by_name: HashMap<(id::Team, String), ClassKey>,
    /// Logarithm of used over declared, over all classes.
    cpu_error: Moments,
    memory_error: Moments,
    /// Logarithm of use, over all classes.
    cpu_overall: Moments,
    memory_overall: Moments,
}

impl Estimates {
    /// Returns the key of a team's class, which is created if necessary.
    pub fn class(&mut self, team: &id::Team, name: &str) -> ClassKey {
        if let Some(key) = self.by_name.get(&(team.clone(), name.to_owned())) {
            return *key;
        }
        let key = self.classes.insert(Class::default());
        self.by_name.insert((team.clone(), name.to_owned()), key);
        key
    }

    /// Returns the stored form of all estimates.
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

    /// Loads a snapshot; classes that already have readings keep their own.
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

    /// Returns the number of classes.
    pub fn len(&self) -> usize {
        self.classes.len()
    }

    /// Returns true if no class is known.
    pub fn is_empty(&self) -> bool {
        self.classes.is_empty()
    }

    /// Returns true if the class has enough readings to disregard its declaration.
    pub fn is_known(&self, class: ClassKey) -> bool {
        self.classes[class].memory_mib.count >= KNOWN_READINGS_MIN
    }

    /// Predicts what a task of the class needs.
    pub fn predict(&self, class: ClassKey, declared: platform::Resources) -> Need {
        let known = &self.classes[class];
        Need {
            cpu_milli: posterior(
                &known.cpu_milli,
                &prior(&self.cpu_error, &self.cpu_overall, declared.cpu_milli),
            ),
            memory_mib: posterior(
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
        posterior(&known.run_ms, &prior(&nothing, &nothing, declared_ms))
    }

    /// Records the use of a task that has settled or ended.
    pub fn record(&mut self, class: ClassKey, sample: &Sample) {
        let known = &mut self.classes[class];
        let cpu = clamped_ln(sample.used.cpu_milli);
        let memory = clamped_ln(sample.used.memory_mib);
        known.cpu_milli.add(cpu);
        known.memory_mib.add(memory);
        self.cpu_overall.add(cpu);
        self.memory_overall.add(memory);
        self.cpu_error
            .add(cpu - clamped_ln(sample.declared.cpu_milli));
        self.memory_error
            .add(memory - clamped_ln(sample.declared.memory_mib));
    }

    /// Records the run time of a finished job, in milliseconds over all its tasks.
    pub fn record_run(&mut self, class: ClassKey, run_ms: u64) {
        self.classes[class].run_ms.add(clamped_ln(run_ms));
    }
}

/// Prior for a class without readings, as a logarithm.
#[derive(Clone, Copy, Debug)]
struct Prior {
    mean: f64,
    variance: f64,
}

/// Combines a declaration, corrected by the error of other declarations, with the use of all
/// classes, weighted by the inverse of their variances so far.
fn prior(error: &Moments, overall: &Moments, declared: u64) -> Prior {
    let (bias, variance) = error.with_prior(0.0, PRIOR_VARIANCE);
    let mean = clamped_ln(declared) + bias;
    if overall.count < OVERALL_READINGS_MIN {
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

fn posterior(known: &Moments, prior: &Prior) -> Quantity {
    let (mean, combined_variance) = known.with_prior(prior.mean, prior.variance);
    Quantity::log_normal(mean, combined_variance, 1.0 / (known.count + 1.0))
}

fn clamped_ln(value: u64) -> f64 {
    (value.max(1) as f64).ln()
}
