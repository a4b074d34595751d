//! Keys and certificates for a test's nodes.

use std::fs;
use std::path::Path;

use rcgen::{BasicConstraints, CertificateParams, IsCa, Issuer, KeyPair};
use wasabiloft_node::settings;

/// An authority and a folder for the files that it signs.
pub struct Authority {
    dir: tempfile::TempDir,
    issuer: Issuer<'static, KeyPair>,
}

impl Authority {
    /// Makes a new authority.
    pub fn create() -> Self {
        let dir = tempfile::tempdir().expect("a folder can be made");
        let key = KeyPair::generate().expect("a key can be made");
        let mut params = CertificateParams::new(Vec::new()).expect("no names are fine");
        params.is_ca = IsCa::Ca(BasicConstraints::Constrained(0));
        let certificate = params.self_signed(&key).expect("it can be signed");
        write(dir.path(), "authority.pem", &certificate.pem());
        let issuer = Issuer::new(params, key);
        Self { dir, issuer }
    }

    /// Makes the files of a node.
    pub fn sign(&self, node: &str) -> settings::Tls {
        let key = KeyPair::generate().expect("a key can be made");
        let params = CertificateParams::new(vec![node.to_owned()]).expect("the name is fine");
        let certificate = params
            .signed_by(&key, &self.issuer)
            .expect("it can be signed");
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
    fs::write(dir.join(name), text).expect("the folder is writable");
}
