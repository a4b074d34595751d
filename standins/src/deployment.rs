//! A deployment's file: its data centres, racks, pools and VM sizes, and where its services' documents lie.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use serde::Deserialize;
use snafu::{ResultExt, Snafu};
use wasabiloft::document;
use wasabiloft::id;
use wasabiloft::platform;

/// Name of the deployment's file in its folder.
pub const FILE_NAME: &str = "deployment.toml";
/// Name of the folder of services' documents in the deployment's folder.
pub const SERVICES_DIR: &str = "services";

/// A deployment, as written in its file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Deployment {
    /// Its name.
    pub name: String,
    /// Entry VMs of the system.
    pub entry_nodes: u32,
    /// VMs in a rack.
    pub vms_per_rack: u32,
    /// One-way delay between clients and the nearest data centre, in microseconds.
    pub client_one_way_us: u64,
    /// One-way delay between data centres, in microseconds.
    pub data_centre_one_way_us: u64,
    /// How long a reboot takes in the stand-in, in milliseconds.
    pub reboot_ms: u64,
    /// The size of each VM.
    pub vm_size: VmSize,
    /// Data centres.
    #[serde(rename = "data_centre")]
    pub data_centres: Vec<DataCentre>,
    /// Pools and the VMs bought for them.
    #[serde(rename = "pool")]
    pub pools: Vec<Pool>,
}

/// The size of a VM.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VmSize {
    /// Cores.
    pub cores: u64,
    /// Memory, in GiB.
    pub memory_gib: u64,
    /// Accelerators.
    #[serde(default)]
    pub accelerators: u32,
}

/// A data centre.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DataCentre {
    /// Its name.
    pub name: id::DataCentre,
    /// Its region.
    pub region: id::Region,
}

/// A pool and the VMs that are bought for it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// Its name.
    pub name: id::Pool,
    /// VMs.
    pub vms: u32,
}

/// A file of the deployment that can't be used.
#[derive(Debug, Snafu)]
pub enum Error {
    /// It can't be read.
    #[snafu(display("{}: {source}", path.display()))]
    Read {
        /// The file.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// It is not a deployment.
    #[snafu(display("{}: {source}", path.display()))]
    Syntax {
        /// The file.
        path: PathBuf,
        /// Why.
        source: toml::de::Error,
    },
    /// It is not a document.
    #[snafu(display("{}: {source}", path.display()))]
    Document {
        /// The file.
        path: PathBuf,
        /// Why.
        source: document::Error,
    },
}

/// Reads the deployment's file from its folder.
///
/// # Errors
///
/// If the file can't be read or has another shape.
pub fn read(dir: &Path) -> Result<Deployment, Error> {
    let path = dir.join(FILE_NAME);
    let text = fs::read_to_string(&path).context(ReadSnafu { path: &path })?;
    toml::from_str(&text).context(SyntaxSnafu { path })
}

/// Reads the services' documents of a deployment's folder, with their text, by file name.
///
/// # Errors
///
/// If the folder or a file can't be read, or a file is not a document.
pub fn read_documents(dir: &Path) -> Result<Vec<(String, document::Document)>, Error> {
    let mut documents = Vec::new();
    for path in document_paths(dir)? {
        let text = fs::read_to_string(&path).context(ReadSnafu { path: &path })?;
        let document = document::parse(&text).context(DocumentSnafu { path })?;
        documents.push((text, document));
    }
    Ok(documents)
}

/// The paths of a deployment's documents, sorted.
///
/// # Errors
///
/// If the folder can't be read.
pub fn document_paths(dir: &Path) -> Result<Vec<PathBuf>, Error> {
    let folder = dir.join(SERVICES_DIR);
    let mut paths = Vec::new();
    for entry in fs::read_dir(&folder).context(ReadSnafu { path: &folder })? {
        let path = entry.context(ReadSnafu { path: &folder })?.path();
        if path.extension().is_some_and(|ending| ending == "toml") {
            paths.push(path);
        }
    }
    paths.sort();
    Ok(paths)
}

impl Deployment {
    /// The number of VMs over all pools.
    pub fn vm_count(&self) -> usize {
        self.pools.iter().map(|pool| pool.vms as usize).sum()
    }

    /// Lays out the VMs: pools are dealt over data centres in turn, racks are filled one after another.
    ///
    /// `endpoints` are the addresses of the VMs' runners, at least as many as there are VMs.
    pub fn vms(&self, endpoints: &[SocketAddr]) -> Vec<platform::Vm> {
        let mut vms = Vec::with_capacity(self.vm_count());
        let mut in_data_centre = vec![0u32; self.data_centres.len()];
        for pool in &self.pools {
            for _ in 0..pool.vms {
                let index = vms.len();
                let place = index % self.data_centres.len();
                let rack = in_data_centre[place] / self.vms_per_rack;
                in_data_centre[place] += 1;
                vms.push(self.vm(index, place, rack, pool, endpoints[index]));
            }
        }
        vms
    }

    fn vm(
        &self,
        index: usize,
        place: usize,
        rack: u32,
        pool: &Pool,
        endpoint: SocketAddr,
    ) -> platform::Vm {
        let data_centre = &self.data_centres[place];
        platform::Vm {
            vm: id::Vm::from(format!("vm-{:04}", index + 1)),
            rack: id::Rack::from(format!("{}-rack-{}", data_centre.name, rack + 1)),
            data_centre: data_centre.name.clone(),
            region: data_centre.region.clone(),
            home_pool: pool.name.clone(),
            state: platform::VmState::Live,
            boots: 1,
            size: platform::Resources {
                cpu_milli: self.vm_size.cores * 1000,
                memory_mib: self.vm_size.memory_gib * 1024,
                accelerators: self.vm_size.accelerators,
            },
            endpoint,
        }
    }
}
