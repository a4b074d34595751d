//! How many VMs of a pool are in service, per failure domain, and what its largest domain's loss leaves.

use std::collections::BTreeMap;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::id;
use crate::pool::{member, spec};

/// The failure domain whose loss a wave leaves room for.
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

/// VMs in service, per failure domain.
#[derive(Clone, Debug, Default)]
pub struct Strength<'a> {
    /// VMs in service.
    pub in_service: u32,
    racks: BTreeMap<&'a id::Rack, u32>,
    data_centres: BTreeMap<&'a id::DataCentre, u32>,
}

impl<'a> Strength<'a> {
    /// Counts the members that are in service.
    pub fn of(members: &[member::Member<'a>]) -> Self {
        Self::collect(members.iter().filter(|member| member.in_service()))
    }

    /// Counts the members that serve now or will before long, as if all were in service.
    pub fn nominal(members: &[member::Member<'a>], as_of_ms: u64, patience_ms: u64) -> Self {
        Self::collect(
            members
                .iter()
                .filter(|member| member.expected(as_of_ms, patience_ms)),
        )
    }

    fn collect<'m, I>(members: I) -> Self
    where
        I: Iterator<Item = &'m member::Member<'a>>,
        'a: 'm,
    {
        let mut strength = Self::default();
        for member in members {
            strength.add(member);
        }
        strength
    }

    /// Adds a VM.
    pub fn add(&mut self, member: &member::Member<'a>) {
        self.in_service += 1;
        if let Some(rack) = member.rack {
            *self.racks.entry(rack).or_default() += 1;
        }
        if let Some(data_centre) = member.data_centre {
            *self.data_centres.entry(data_centre).or_default() += 1;
        }
    }

    /// Takes a VM away that was counted.
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

    /// VMs in service in a rack.
    pub fn in_rack(&self, rack: Option<&id::Rack>) -> u32 {
        rack.and_then(|rack| self.racks.get(rack))
            .copied()
            .unwrap_or(0)
    }

    /// VMs in service in a data centre.
    pub fn in_data_centre(&self, data_centre: Option<&id::DataCentre>) -> u32 {
        data_centre
            .and_then(|name| self.data_centres.get(name))
            .copied()
            .unwrap_or(0)
    }

    /// VMs that the largest failure domain's loss would take.
    pub fn worst(&self, cover: Cover) -> u32 {
        match cover {
            Cover::Nothing => 0,
            Cover::Rack => self.racks.values().copied().max().unwrap_or(0),
            Cover::DataCentre => self.data_centres.values().copied().max().unwrap_or(0),
        }
    }

    /// VMs in service that the largest failure domain's loss would leave.
    pub fn left(&self, cover: Cover) -> u32 {
        self.in_service - self.worst(cover)
    }

    /// VMs left by the largest failure domain's loss, after one VM more has been taken away.
    pub fn left_without(&self, member: &member::Member<'a>, cover: Cover) -> u32 {
        let mut after = self.clone();
        after.remove(member);
        after.left(cover)
    }
}

/// The failure domain that a pool can and so must cover.
///
/// A data centre, if the pool at full strength bears its loss with one VM out; else a rack, for
/// which spare VMs are moved in where the pool is too tight.
pub fn cover(spec: &spec::Spec, nominal: &Strength<'_>) -> Cover {
    match spec.role {
        spec::Role::Spare | spec::Role::Orphan => Cover::Nothing,
        spec::Role::Service => {
            let needed = spec.min_runners + nominal.worst(Cover::DataCentre) + 1;
            if needed <= spec.runners {
                Cover::DataCentre
            } else {
                Cover::Rack
            }
        }
    }
}
