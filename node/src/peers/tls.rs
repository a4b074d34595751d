//! Mutual TLS of the links between nodes.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use rustls::RootCertStore;
use rustls::crypto::ring;
use rustls::server::WebPkiClientVerifier;
use rustls_pki_types::pem::PemObject;
use rustls_pki_types::{CertificateDer, PrivateKeyDer};
use snafu::Snafu;

use crate::settings;

/// The ALPN protocol name in the handshake.
const PROTOCOL: &[u8] = b"wasabiloft/1";

/// Keys or certificates that can't be used.
#[derive(Debug, Snafu)]
pub enum Error {
    /// A file can't be read as PEM.
    #[snafu(display("{}: {reason}", path.display()))]
    File {
        /// Path of the file.
        path: PathBuf,
        /// The error from the PEM reader.
        reason: String,
    },
    /// The key and the certificates can't be used together.
    #[snafu(display("unusable key or certificate for node links: {reason}"))]
    Unusable {
        /// The error from the TLS library.
        reason: String,
    },
}

/// Holds the TLS configuration for both ends of a link.
#[derive(Clone, Debug)]
pub struct Config {
    server: quinn::ServerConfig,
    client: quinn::ClientConfig,
}

impl Config {
    /// Returns the configuration of the accepting end; a connection without traffic for `idle_ms` is closed.
    pub fn server(&self, idle_ms: u64) -> quinn::ServerConfig {
        let mut config = self.server.clone();
        config.transport_config(transport(idle_ms));
        config
    }

    /// Returns the configuration of the dialling end; a connection without traffic for `idle_ms` is closed.
    pub fn client(&self, idle_ms: u64) -> quinn::ClientConfig {
        let mut config = self.client.clone();
        config.transport_config(transport(idle_ms));
        config
    }
}

fn transport(idle_ms: u64) -> Arc<quinn::TransportConfig> {
    let mut transport = quinn::TransportConfig::default();
    let idle_ms = u32::try_from(idle_ms).unwrap_or(u32::MAX);
    transport.max_idle_timeout(Some(quinn::VarInt::from_u32(idle_ms).into()));
    transport.initial_rtt(Duration::from_millis(20));
    Arc::new(transport)
}

/// Reads the key and the certificates of a node.
///
/// # Errors
///
/// Returns an error if a file can't be read, or if the key doesn't match the certificate.
pub fn read(files: &settings::Tls) -> Result<Config, Error> {
    let provider = Arc::new(ring::default_provider());
    let mut roots = RootCertStore::empty();
    for authority in certificates(&files.authority)? {
        roots.add(authority).map_err(unusable)?;
    }
    let roots = Arc::new(roots);
    let chain = certificates(&files.certificate)?;
    let key = PrivateKeyDer::from_pem_file(&files.key).map_err(|error| Error::File {
        path: files.key.clone(),
        reason: error.to_string(),
    })?;
    let verifier =
        WebPkiClientVerifier::builder_with_provider(Arc::clone(&roots), Arc::clone(&provider));
    let mut server = rustls::ServerConfig::builder_with_provider(Arc::clone(&provider))
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(unusable)?
        .with_client_cert_verifier(verifier.build().map_err(unusable)?)
        .with_single_cert(chain.clone(), key.clone_key())
        .map_err(unusable)?;
    server.alpn_protocols = vec![PROTOCOL.to_vec()];
    let mut client = rustls::ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(unusable)?
        .with_root_certificates(roots)
        .with_client_auth_cert(chain, key)
        .map_err(unusable)?;
    client.alpn_protocols = vec![PROTOCOL.to_vec()];
    let server = QuicServerConfig::try_from(server).map_err(unusable)?;
    let client = QuicClientConfig::try_from(client).map_err(unusable)?;
    Ok(Config {
        server: quinn::ServerConfig::with_crypto(Arc::new(server)),
        client: quinn::ClientConfig::new(Arc::new(client)),
    })
}

fn certificates(path: &Path) -> Result<Vec<CertificateDer<'static>>, Error> {
    let file = |error: rustls_pki_types::pem::Error| Error::File {
        path: path.to_owned(),
        reason: error.to_string(),
    };
    let certificates = CertificateDer::pem_file_iter(path).map_err(file)?;
    certificates.collect::<Result<Vec<_>, _>>().map_err(file)
}

fn unusable<E>(error: E) -> Error
where
    E: std::error::Error,
{
    Error::Unusable {
        reason: error.to_string(),
    }
}
