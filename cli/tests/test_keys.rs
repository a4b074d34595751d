use std::fs;
use std::os::unix::fs::PermissionsExt;

use crate::workdir;
use crate::workdir::Workdir;

#[test]
fn makes_files_for_each_node_and_replaces_none() {
    let work = Workdir::create_empty();
    let output = work.run(&["keys", "--out", "tls", "entry-1", "entry-2"]);
    assert!(output.status.success(), "{output:?}");
    assert_eq!(workdir::stdout(&output).lines().count(), 2);
    let key = work.path().join("tls/entry-1-key.pem");
    let mode = fs::metadata(&key)
        .expect("the key was written")
        .permissions()
        .mode();
    assert_eq!(mode & 0o077, 0, "others can read the key");
    let before = fs::read_to_string(&key).expect("the key is text");
    let again = work.run(&["keys", "--out", "tls", "entry-1"]);
    assert!(!again.status.success(), "{again:?}");
    assert_eq!(fs::read_to_string(&key).expect("the key is text"), before);
}

#[test]
fn later_nodes_are_signed_by_the_same_authority() {
    let work = Workdir::create_empty();
    assert!(
        work.run(&["keys", "--out", "tls", "entry-1"])
            .status
            .success()
    );
    let authority = fs::read_to_string(work.path().join("tls/authority.pem"));
    assert!(
        work.run(&["keys", "--out", "tls", "entry-2"])
            .status
            .success()
    );
    let later = fs::read_to_string(work.path().join("tls/authority.pem"));
    assert_eq!(authority.ok(), later.ok());
    assert!(work.path().join("tls/entry-2.pem").exists());
}
