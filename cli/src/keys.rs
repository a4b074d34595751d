//! Implements the `keys` command.

use std::ffi::OsString;
use std::fs;
use std::io::Write;
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use rcgen::{
    BasicConstraints, CertificateParams, DnType, ExtendedKeyUsagePurpose, IsCa, Issuer, KeyPair,
    KeyUsagePurpose,
};
use wasabiloft_node::settings;

use crate::util;

const USAGE: &str = "\
Creates the keys and certificates for the connections between entry nodes.

Usage:
    wasabiloft keys --out DIR NODE...

Writes authority.pem and authority-key.pem, unless they already exist, and NODE.pem and NODE-key.pem for
each node; existing files of a node are never replaced. Copy authority.pem and a node's own two files to that node,
and keep authority-key.pem off the entry VMs.

Options:
    --out DIR     The output directory.
    -h, --help    Show this text.
";

/// File name of the certificate authority's certificate.
const AUTHORITY_FILE: &str = "authority.pem";
/// File name of the certificate authority's private key.
const AUTHORITY_KEY_FILE: &str = "authority-key.pem";
/// Permissions of a private key file: readable and writable only by its owner.
const KEY_FILE_MODE: u32 = 0o600;

pub fn run(argv: &[OsString]) -> Result<ExitCode, util::Error> {
    use lexopt::prelude::*;

    let mut out = None;
    let mut nodes = Vec::new();
    let mut parser = util::parser(argv);
    while let Some(arg) = parser.next()? {
        match arg {
            Long("out") => out = Some(PathBuf::from(parser.value()?)),
            Value(name) => nodes.push(name.string()?),
            Short('h') | Long("help") => return Ok(util::help(USAGE)),
            other => return Err(other.unexpected().into()),
        }
    }
    let out = out.ok_or_else(|| util::Error::usage(USAGE))?;
    if nodes.is_empty() {
        return Err(util::Error::usage(USAGE));
    }
    create(&out, &nodes)?;
    for node in &nodes {
        println!("{node}: {}", key_file(&out, node).display());
    }
    Ok(ExitCode::SUCCESS)
}

/// Creates keys and certificates for the given nodes, and those of the authority unless they already exist.
pub fn create(out: &Path, nodes: &[String]) -> Result<(), util::Error> {
    fs::create_dir_all(out).map_err(|error| file_error(out, error))?;
    let authority = load_or_create_authority(out)?;
    for node in nodes {
        sign(out, node, &authority)?;
    }
    Ok(())
}

/// Returns the paths of a node's key and certificate files for its settings.
pub fn files(out: &Path, node: &str) -> settings::Tls {
    settings::Tls {
        authority: out.join(AUTHORITY_FILE),
        certificate: out.join(format!("{node}.pem")),
        key: key_file(out, node),
    }
}

fn key_file(out: &Path, node: &str) -> PathBuf {
    out.join(format!("{node}-key.pem"))
}

fn load_or_create_authority(out: &Path) -> Result<Issuer<'static, KeyPair>, util::Error> {
    let certificate_path = out.join(AUTHORITY_FILE);
    let key_path = out.join(AUTHORITY_KEY_FILE);
    if certificate_path.exists() || key_path.exists() {
        let key = KeyPair::from_pem(&util::read_file(&key_path)?).map_err(util::Error::failed)?;
        let certificate = util::read_file(&certificate_path)?;
        return Issuer::from_ca_cert_pem(&certificate, key).map_err(util::Error::failed);
    }
    let key = KeyPair::generate().map_err(util::Error::failed)?;
    let params = authority_params()?;
    let certificate = params.self_signed(&key).map_err(util::Error::failed)?;
    write_new(&key_path, &key.serialize_pem(), KEY_FILE_MODE)?;
    write_new(&certificate_path, &certificate.pem(), 0o644)?;
    Ok(Issuer::new(params, key))
}

fn authority_params() -> Result<CertificateParams, util::Error> {
    let mut params = CertificateParams::new(Vec::new()).map_err(util::Error::failed)?;
    params
        .distinguished_name
        .push(DnType::CommonName, "wasabiloft authority");
    params.is_ca = IsCa::Ca(BasicConstraints::Constrained(0));
    params.key_usages = vec![
        KeyUsagePurpose::KeyCertSign,
        KeyUsagePurpose::DigitalSignature,
    ];
    Ok(params)
}

fn sign(out: &Path, node: &str, authority: &Issuer<'static, KeyPair>) -> Result<(), util::Error> {
    let key = KeyPair::generate().map_err(util::Error::failed)?;
    let mut params = CertificateParams::new(vec![node.to_owned()]).map_err(util::Error::failed)?;
    params.distinguished_name.push(DnType::CommonName, node);
    params.key_usages = vec![KeyUsagePurpose::DigitalSignature];
    params.extended_key_usages = vec![
        ExtendedKeyUsagePurpose::ServerAuth,
        ExtendedKeyUsagePurpose::ClientAuth,
    ];
    let certificate = params
        .signed_by(&key, authority)
        .map_err(util::Error::failed)?;
    write_new(&key_file(out, node), &key.serialize_pem(), KEY_FILE_MODE)?;
    write_new(&out.join(format!("{node}.pem")), &certificate.pem(), 0o644)?;
    Ok(())
}

fn write_new(path: &Path, text: &str, mode: u32) -> Result<(), util::Error> {
    let mut options = fs::OpenOptions::new();
    options.write(true).create_new(true).mode(mode);
    let mut file = options
        .open(path)
        .map_err(|error| file_error(path, error))?;
    file.write_all(text.as_bytes())
        .map_err(|error| file_error(path, error))
}

fn file_error(path: &Path, error: std::io::Error) -> util::Error {
    util::Error::failed(format!("{}: {error}", path.display()))
}
