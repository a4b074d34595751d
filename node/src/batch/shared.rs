//! State shared by the tasks of a node.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use metrics_exporter_prometheus::PrometheusHandle;
use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;
use wasabiloft::batch::queue;
use wasabiloft::batch::record;
use wasabiloft::batch::tombstones::Budget;
use wasabiloft::batch::waves;
use wasabiloft_platform::{settings, store};

use crate::batch::leadership;
use crate::clock;

/// Time without a response of the store after which an outage is assumed, in milliseconds; above the wait of the polls
/// that follow the configuration.
const STORE_OUTAGE_MS: u64 = 1_300;

/// The newest configuration that this node has received.
#[derive(Clone, Debug, Default)]
pub struct CurrentConfig {
    /// The parsed configuration; `None` until one was received.
    pub config: Option<Arc<queue::Config>>,
    /// Its JSON bytes, as they are forwarded to peers.
    pub raw: Arc<Vec<u8>>,
    /// Latest time at which no newer version had been acknowledged.
    pub confirmed_at: Option<wasabiloft::clock::Instant>,
}

/// The duty's row at the newest version that this node has read.
#[derive(Clone, Debug, Default)]
pub struct DutyRow {
    /// The decoded row; `None` if it did not exist or could not be decoded.
    pub duty: Option<record::Duty>,
    /// Version of the row; 0 if it did not exist.
    pub version: u64,
}

/// A maintenance wave that operators requested.
#[derive(Clone, Debug)]
pub struct RequestedWave {
    /// The operators' request.
    pub request: waves::Request,
    /// When this node first read the request.
    pub at: wasabiloft::clock::Instant,
}

/// State shared by the tasks of a node.
#[derive(Debug)]
pub struct Shared {
    settings: Mutex<Arc<settings::Settings>>,
    /// Client of the platform's store.
    pub store: store::Store,
    /// Cancelled when the node must stop.
    pub stop: CancellationToken,
    /// Random number that identifies this start of the node.
    pub incarnation: u64,
    /// Handle that renders the metrics.
    pub metrics: PrometheusHandle,
    current_config: Mutex<CurrentConfig>,
    duty: Mutex<DutyRow>,
    leadership: Mutex<Option<Arc<leadership::Leadership>>>,
    store_responded_ms: AtomicU64,
    /// The store's clock, in milliseconds, and when it was received.
    store_clock: Mutex<Option<(u64, wasabiloft::clock::Instant)>>,
    own_epoch: AtomicU64,
    waves: Mutex<BTreeMap<u64, RequestedWave>>,
    successor: AtomicU64,
    /// How late this process runs.
    pub(super) meter: Arc<super::lateness::Meter>,
    pub(super) peers: super::peers::Clients,
    /// Permits for followers that read the configuration from this node.
    pub(super) config_transfers: Semaphore,
    pub(super) forwarding: super::forward::Breaker,
    pub(super) submissions: super::submissions::Handle,
    pub(super) admission: super::admission::Admission,
    pub(super) job_room: super::job_room::JobRoom,
    /// Limits the tombstones that this node writes.
    tombstones: Mutex<Budget>,
    /// When the store last began to respond after an outage, in milliseconds since boot.
    store_steady_since_ms: AtomicU64,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Shared {
    /// Creates the state of a starting node.
    pub fn new(settings: settings::Settings, metrics: PrometheusHandle) -> Self {
        Self {
            store: store::Store::new(settings.store),
            stop: CancellationToken::new(),
            incarnation: rand::random(),
            metrics,
            current_config: Mutex::default(),
            duty: Mutex::default(),
            leadership: Mutex::default(),
            own_epoch: AtomicU64::new(0),
            successor: AtomicU64::new(0),
            meter: Arc::new(super::lateness::Meter::new(settings.cpu_milli)),
            waves: Mutex::default(),
            store_responded_ms: AtomicU64::new(clock::since_boot().as_ms()),
            store_clock: Mutex::default(),
            job_room: super::job_room::JobRoom::new(settings.memory_mib),
            settings: Mutex::new(Arc::new(settings)),
            peers: super::peers::Clients::default(),
            config_transfers: Semaphore::new(super::peers::CONFIG_TRANSFERS_MAX),
            forwarding: super::forward::Breaker::default(),
            submissions: super::submissions::Handle::default(),
            admission: super::admission::Admission::default(),
            tombstones: Mutex::default(),
            store_steady_since_ms: AtomicU64::new(clock::since_boot().as_ms()),
        }
    }

    /// Returns the current settings.
    pub fn settings(&self) -> Arc<settings::Settings> {
        Arc::clone(&lock(&self.settings))
    }

    /// Replaces the settings; returns whether they differ from the previous ones.
    pub fn replace_settings(&self, settings: settings::Settings) -> bool {
        let mut current = lock(&self.settings);
        let differs = **current != settings;
        if differs {
            *current = Arc::new(settings);
        }
        differs
    }

    /// Takes one tombstone from the budget of this node; returns false if it is used up.
    pub fn take_tombstone(&self) -> bool {
        lock(&self.tombstones).try_take(clock::since_boot())
    }

    /// Returns the newest configuration.
    pub fn current_config(&self) -> CurrentConfig {
        lock(&self.current_config).clone()
    }

    /// Applies a configuration if it is newer than the current one; returns whether it was applied.
    pub fn apply_config(&self, config: queue::Config, raw: Vec<u8>) -> bool {
        let mut current_config = lock(&self.current_config);
        let known = current_config.config.as_ref().map(|config| config.version);
        if known.is_some_and(|known| known >= config.version) {
            return false;
        }
        current_config.config = Some(Arc::new(config));
        current_config.raw = Arc::new(raw);
        true
    }

    /// Records that the current configuration was the newest at a point in time.
    pub fn confirm_config(&self, at: wasabiloft::clock::Instant) {
        let mut current_config = lock(&self.current_config);
        if current_config.config.is_some() {
            current_config.confirmed_at = current_config.confirmed_at.max(Some(at));
        }
    }

    /// Returns the duty's row as last read.
    pub fn duty(&self) -> DutyRow {
        lock(&self.duty).clone()
    }

    /// Records the duty's row unless a newer version is known.
    pub fn record_duty(&self, row: DutyRow) {
        let mut duty = lock(&self.duty);
        if row.version >= duty.version {
            *duty = row;
        }
    }

    /// Returns the state of the leadership; `None` if this node does not lead the duty.
    pub fn leadership(&self) -> Option<Arc<leadership::Leadership>> {
        lock(&self.leadership).clone()
    }

    /// Sets the state of the leadership; `None` when this node no longer leads the duty.
    pub fn set_leadership(&self, leadership: Option<Arc<leadership::Leadership>>) {
        *lock(&self.leadership) = leadership;
    }

    /// Returns the epoch under which this node leads or claims the duty, else 0.
    pub fn own_epoch(&self) -> u64 {
        self.own_epoch.load(Ordering::Relaxed)
    }

    /// Sets the epoch under which this node leads or claims the duty; 0 when it does neither.
    pub fn set_own_epoch(&self, epoch: u64) {
        self.own_epoch.store(epoch, Ordering::Relaxed);
    }

    /// Returns the incarnation of the node to which this leader hands the duty over, else 0.
    pub fn successor(&self) -> u64 {
        self.successor.load(Ordering::Relaxed)
    }

    /// Sets the incarnation of the node to which this leader hands the duty over; 0 for none.
    pub fn set_successor(&self, incarnation: u64) {
        self.successor.store(incarnation, Ordering::Relaxed);
    }

    /// Records a requested wave; returns whether it is new, or differs from what was requested before under its number.
    pub fn record_wave_request(&self, request: waves::Request) -> bool {
        let mut waves = lock(&self.waves);
        match waves.get_mut(&request.number) {
            Some(before) if before.request == request => false,
            Some(before) => {
                before.request = request;
                true
            }
            None => {
                let at = clock::since_boot();
                waves.insert(request.number, RequestedWave { request, at });
                true
            }
        }
    }

    /// Returns all requested waves.
    pub fn waves(&self) -> Vec<RequestedWave> {
        lock(&self.waves).values().cloned().collect()
    }

    /// Records a response of the store at the current time.
    pub fn record_store_response(&self) {
        let now_ms = clock::since_boot().as_ms();
        let before_ms = self.store_responded_ms.swap(now_ms, Ordering::Relaxed);
        if now_ms.saturating_sub(before_ms) >= STORE_OUTAGE_MS {
            self.store_steady_since_ms.store(now_ms, Ordering::Relaxed);
        }
    }

    /// Returns the time since the store's last outage ended, or since the start, in milliseconds; 0 during an outage.
    pub fn store_steady_ms(&self) -> u64 {
        if self.store_silent_ms() >= STORE_OUTAGE_MS {
            return 0;
        }
        let since_ms = self.store_steady_since_ms.load(Ordering::Relaxed);
        clock::since_boot().as_ms().saturating_sub(since_ms)
    }

    /// Records the store's clock from a response, in milliseconds.
    pub fn record_store_clock(&self, now_ms: u64) {
        *lock(&self.store_clock) = Some((now_ms, clock::since_boot()));
    }

    /// Returns the estimated current time of the store's clock, in milliseconds; `None` before the first response.
    pub fn store_now_ms(&self) -> Option<u64> {
        let (now_ms, received_at) = (*lock(&self.store_clock))?;
        Some(now_ms + clock::since_boot().since_ms(received_at))
    }

    /// Returns the time since the store last responded, in milliseconds.
    pub fn store_silent_ms(&self) -> u64 {
        let at = self.store_responded_ms.load(Ordering::Relaxed);
        clock::since_boot().as_ms().saturating_sub(at)
    }
}
