//! Typed names of the things that are managed.

use std::sync::Arc;

use derive_more::{AsRef, Display};
use serde::{Deserialize, Serialize};

/// Defines a name type that is cheap to clone.
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
            /// Makes the name from text.
            pub fn new(text: &str) -> Self {
                Self(Arc::from(text))
            }

            /// The name as text.
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
    /// A team, the owner of services and of a quota.
    Team
);
name!(
    /// A service; it has one document.
    Service
);
name!(
    /// A kind of work within a service.
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
    /// A worker: one life of a VM's runner in one pool.
    Worker
);
name!(
    /// A rack; its VMs fail together.
    Rack
);
name!(
    /// A data centre.
    DataCentre
);
name!(
    /// A region of data centres.
    Region
);
name!(
    /// An entry VM of the system, by the name in its settings.
    Node
);
name!(
    /// A job.
    Job
);
name!(
    /// One run of a job on a worker.
    Task
);
name!(
    /// A leased duty of control.
    Duty
);
name!(
    /// A key in the platform's table.
    Key
);
name!(
    /// The id of an operation, by which a lost reply is settled.
    Operation
);
