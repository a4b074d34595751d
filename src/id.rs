//! Typed identifiers of teams, services, VMs, jobs and other managed objects.

use std::sync::Arc;

use derive_more::{AsRef, Display};
use serde::{Deserialize, Serialize};

/// Defines an identifier type that is cheap to clone.
macro_rules! name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            AsRef, Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[as_ref(str)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Creates the identifier from its text.
            pub fn new(text: &str) -> Self {
                Self(Arc::from(text))
            }

            /// Returns the identifier as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self::new(text)
            }
        }

        impl From<String> for $name {
            fn from(text: String) -> Self {
                Self(Arc::from(text))
            }
        }
    };
}

name!(
    /// A team, which owns services and a quota.
    Team
);
name!(
    /// A client account, on whose behalf callers submit jobs.
    Account
);
name!(
    /// A service, configured by one document.
    Service
);
name!(
    /// A kind of work within a service, as its document names it.
    Kind
);
name!(
    /// A pool of VMs.
    Pool
);
name!(
    /// A VM: a worker that also hosts the runner of its pool's service.
    Vm
);
name!(
    /// A worker: one incarnation of a VM's runner in one pool.
    Worker
);
name!(
    /// A rack, a failure domain: its VMs fail together.
    Rack
);
name!(
    /// A data centre, which holds racks.
    DataCentre
);
name!(
    /// A region, which groups data centres.
    Region
);
name!(
    /// An entry VM, by the name in its settings.
    Node
);
name!(
    /// A job, which tasks run on workers.
    Job
);
name!(
    /// One run of a job on a worker.
    Task
);
name!(
    /// A duty: a control task that one node at a time leads under a lease.
    Duty
);
name!(
    /// A row's key in the platform's table.
    Key
);
name!(
    /// An operation's id, which resolves the outcome when a reply is lost.
    Operation
);
