//! Keys and certificates for the nodes of a test.

use std::fs;
use std::path::Path;

use rcgen::{BasicConstraints, CertificateParams, IsCa, Issuer, KeyPair};
use wasabiloft_node::settings;

/// A certificate authority and a temporary directory for the files that it signs.
pub struct Authority {
    dir: tempfile::TempDir,
    issuer: Issuer<'static, KeyPair>,
}

impl Authority {
    /// Creates an authority with a new key.
    pub fn create() -> Self {
        let dir = tempfile::tempdir().expect("cannot create a directory");
        let key = KeyPair::generate().expect("cannot generate a key");
        let mut params = CertificateParams::new(Vec::new()).expect("empty list of names refused");
        params.is_ca = IsCa::Ca(BasicConstraints::Constrained(0));
        let certificate = params
            .self_signed(&key)
            .expect("cannot sign the certificate");
        write(dir.path(), "authority.pem", &certificate.pem());
        let issuer = Issuer::new(params, key);
        Self { dir, issuer }
    }

    /// Creates the key and the certificate of a node.
    pub fn sign(&self, node: &str) -> settings::Tls {
        let key = KeyPair::generate().expect("cannot generate a key");
        let params = CertificateParams::new(vec![node.to_owned()]).expect("name refused");
        let certificate = params
            .signed_by(&key, &self.issuer)
            .expect("cannot sign the certificate");
        let certificate_file = format!("{node}.pem");
        let key_file = format!("{node}-key.pem");
        write(self.dir.path(), &certificate_file, &certificate.pem());
        write(self.dir.path(), &key_file, &key.serialize_pem());
        settings::Tls {
            authority: self.dir.path().join("authority.pem"),
            certificate: self.dir.path().join(certificate_file),
            key: self.dir.path().join(key_file),
        }
    }
}

fn write(dir: &Path, name: &str, text: &str) {
    fs::write(dir.join(name), text).expect("cannot write the file");
}
