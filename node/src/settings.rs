//! A node's settings, read from a TOML file.

use std::collections::BTreeMap;
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use serde::Deserialize;
use snafu::{ResultExt, Snafu};
use wasabiloft::id;

/// The settings of a node.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The node's name; the name of its VM.
    pub name: id::Node,
    /// The data centre that it is in.
    pub data_centre: id::DataCentre,
    /// Where it listens for callers and operators.
    pub listen: SocketAddr,
    /// Where it listens for the other nodes.
    pub peer_listen: SocketAddr,
    /// Where the platform listens.
    pub platform: SocketAddr,
    /// Keys and certificates for the links between nodes.
    pub tls: Option<Tls>,
    /// The fleet's settings, the same on all nodes.
    #[serde(default)]
    pub fleet: Fleet,
    /// Other nodes, by name, to ask while the platform's table is out and the roster is not known.
    #[serde(default)]
    pub peers: BTreeMap<id::Node, SocketAddr>,
}

/// What the operators set for the fleet.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Fleet {
    /// The shared spare pool.
    pub spare_pool: id::Pool,
    /// Spare VMs that may be out for maintenance at once.
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

/// Files of keys and certificates, in PEM.
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

/// Settings that can't be used.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The file can't be read.
    #[snafu(display("{}: {source}", path.display()))]
    Read {
        /// The file.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// The file has another shape; the message names line and key.
    #[snafu(display("{}: {source}", path.display()))]
    Syntax {
        /// The file.
        path: PathBuf,
        /// Why.
        source: toml::de::Error,
    },
}

/// Reads settings from a file.
///
/// # Errors
///
/// If the file can't be read, or a key is missing, unknown or of the wrong type.
pub fn read(path: &Path) -> Result<Settings, Error> {
    let text = fs::read_to_string(path).context(ReadSnafu { path })?;
    toml::from_str(&text).context(SyntaxSnafu { path })
}
