//! A node's settings, read from a TOML file.

use std::collections::BTreeMap;
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use serde::Deserialize;
use snafu::{ResultExt, Snafu};
use wasabiloft::id;

/// The content of a node's settings file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The node's name, which is the name of its VM.
    pub name: id::Node,
    /// The data centre of the node.
    pub data_centre: id::DataCentre,
    /// The address for callers and operators.
    pub listen: SocketAddr,
    /// The address for links from other nodes.
    pub peer_listen: SocketAddr,
    /// The address of the platform.
    pub platform: SocketAddr,
    /// Key and certificates for the links between nodes; without them the node has no links.
    pub tls: Option<Tls>,
    /// The fleet's settings, which must be the same on all nodes.
    #[serde(default)]
    pub fleet: Fleet,
    /// Addresses of other nodes, used while the platform's table is unavailable and the roster is unknown.
    #[serde(default)]
    pub peers: BTreeMap<id::Node, SocketAddr>,
}

/// Operators' settings of the fleet.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Fleet {
    /// Name of the spare pool that all other pools share.
    pub spare_pool: id::Pool,
    /// Maximum number of spare VMs in maintenance at the same time.
    pub spare_at_once: u32,
}

impl Default for Fleet {
    fn default() -> Self {
        Self {
            spare_pool: id::Pool::new("spare"),
            spare_at_once: 2,
        }
    }
}

/// Paths of the key and certificates, in PEM.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tls {
    /// The certificate of the authority that signs all nodes' certificates.
    pub authority: PathBuf,
    /// The node's certificate.
    pub certificate: PathBuf,
    /// The node's private key.
    pub key: PathBuf,
}

/// The error of reading a settings file.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The file can't be read.
    #[snafu(display("{}: {source}", path.display()))]
    Read {
        /// Path of the settings file.
        path: PathBuf,
        /// The error from the file system.
        source: std::io::Error,
    },
    /// The file is not valid TOML or has wrong keys or types; the message names line and key.
    #[snafu(display("{}: {source}", path.display()))]
    Syntax {
        /// Path of the settings file.
        path: PathBuf,
        /// The error from the parser.
        source: toml::de::Error,
    },
}

/// Reads settings from a file.
///
/// # Errors
///
/// Returns an error if the file can't be read, or a key is missing, unknown or of the wrong type.
pub fn read(path: &Path) -> Result<Settings, Error> {
    let text = fs::read_to_string(path).context(ReadSnafu { path })?;
    toml::from_str(&text).context(SyntaxSnafu { path })
}
