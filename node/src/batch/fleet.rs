//! Machines of the pools: moves and waves of upkeep.

use std::sync::{Arc, Mutex, PoisonError};

use wasabiloft::batch::waves;
use wasabiloft_platform::{store, upkeep};

use crate::batch::{holding, shared};
use crate::log;

/// What was asked of the fleet.
#[derive(Debug, Default)]
pub struct State {
    asked: Mutex<Vec<waves::Request>>,
}

impl State {
    /// Takes in a row that asks for a wave.
    pub fn wave_asked(&self, row: &store::Row) {
        match upkeep::decode(row) {
            Ok(request) => {
                let mut asked = self.asked.lock().unwrap_or_else(PoisonError::into_inner);
                asked.push(request);
            }
            Err(error) => log::warn("fleet", &format!("wave ignored reason={error}")),
        }
    }
}

/// Cares for the fleet until the duty is over.
pub async fn run(_shared: Arc<shared::Shared>, holding: Arc<holding::Holding>) {
    holding.over.cancelled().await;
}
