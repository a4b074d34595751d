//! VMs of a pool in service, counted by failure domain, and those that the loss of its largest
//! domain leaves.

use std::collections::BTreeMap;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::id;
use crate::pool::{member, spec};

/// Failure domain for whose loss a wave keeps a reserve.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[display(rename_all = "kebab-case")]
pub enum Cover {
    /// None: the pool is itself a reserve, or serves nobody.
    Nothing,
    /// The largest rack.
    Rack,
    /// The largest data centre.
    DataCentre,
}

/// VMs in service, counted by failure domain.
#[derive(Clone, Debug, Default)]
pub struct Counts<'a> {
    /// VMs in service, over all domains.
    pub in_service: u32,
    racks: BTreeMap<&'a id::Rack, u32>,
    data_centres: BTreeMap<&'a id::DataCentre, u32>,
}

impl<'a> Counts<'a> {
    /// Counts the members that are in service.
    pub fn of(members: &[member::Member<'a>]) -> Self {
        Self::collect(members.iter().filter(|member| member.in_service()))
    }

    /// Counts the members that serve now or soon will, as if all were in service.
    pub fn nominal(members: &[member::Member<'a>], as_of_ms: u64, replace_after_ms: u64) -> Self {
        Self::collect(
            members
                .iter()
                .filter(|member| member.is_expected(as_of_ms, replace_after_ms)),
        )
    }

    fn collect<'m, I>(members: I) -> Self
    where
        I: Iterator<Item = &'m member::Member<'a>>,
        'a: 'm,
    {
        let mut counts = Self::default();
        for member in members {
            counts.add(member);
        }
        counts
    }

    /// Counts a VM as in service.
    pub fn add(&mut self, member: &member::Member<'a>) {
        self.in_service += 1;
        if let Some(rack) = member.rack {
            *self.racks.entry(rack).or_default() += 1;
        }
        if let Some(data_centre) = member.data_centre {
            *self.data_centres.entry(data_centre).or_default() += 1;
        }
    }

    /// Removes a VM that was counted.
    pub fn remove(&mut self, member: &member::Member<'a>) {
        self.in_service -= 1;
        if let Some(count) = member.rack.and_then(|rack| self.racks.get_mut(rack)) {
            *count -= 1;
        }
        let data_centre = member.data_centre;
        if let Some(count) = data_centre.and_then(|name| self.data_centres.get_mut(name)) {
            *count -= 1;
        }
    }

    /// Returns the VMs in service in a rack; 0 for `None`.
    pub fn in_rack(&self, rack: Option<&id::Rack>) -> u32 {
        rack.and_then(|rack| self.racks.get(rack))
            .copied()
            .unwrap_or(0)
    }

    /// Returns the VMs in service in a data centre; 0 for `None`.
    pub fn in_data_centre(&self, data_centre: Option<&id::DataCentre>) -> u32 {
        data_centre
            .and_then(|name| self.data_centres.get(name))
            .copied()
            .unwrap_or(0)
    }

    /// Returns the VMs in the largest failure domain.
    pub fn largest_domain(&self, cover: Cover) -> u32 {
        match cover {
            Cover::Nothing => 0,
            Cover::Rack => self.racks.values().copied().max().unwrap_or(0),
            Cover::DataCentre => self.data_centres.values().copied().max().unwrap_or(0),
        }
    }

    /// Returns the VMs in service that the loss of the largest failure domain would leave.
    pub fn remaining_after_loss(&self, cover: Cover) -> u32 {
        self.in_service - self.largest_domain(cover)
    }

    /// Returns the VMs left after one VM leaves service and the largest failure domain is then
    /// lost.
    pub fn remaining_after_loss_without(&self, member: &member::Member<'a>, cover: Cover) -> u32 {
        let mut after = self.clone();
        after.remove(member);
        after.remaining_after_loss(cover)
    }
}

/// Returns the failure domain whose loss a pool must be able to survive.
///
/// This is a data centre if the pool, with every VM but one in service, survives the loss of one;
/// otherwise a rack, for which spare VMs are moved in if the pool is too small.
pub fn cover(spec: &spec::Spec, nominal: &Counts<'_>) -> Cover {
    match spec.role {
        spec::Role::Spare | spec::Role::Orphan => Cover::Nothing,
        spec::Role::Service => {
            let needed = spec.min_runners + nominal.largest_domain(Cover::DataCentre) + 1;
            if needed <= spec.runners {
                Cover::DataCentre
            } else {
                Cover::Rack
            }
        }
    }
}
