//! Temporary working directory for runs of the command.

use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

use tempfile::TempDir;

/// Temporary folder that is removed when the value is dropped.
pub struct Workdir {
    dir: TempDir,
}

impl Workdir {
    /// Creates an empty folder.
    pub fn create_empty() -> Self {
        let dir = tempfile::tempdir().expect("a folder can be made");
        Self { dir }
    }

    /// Returns the path of the folder.
    pub fn path(&self) -> &Path {
        self.dir.path()
    }

    /// Writes a file into the folder.
    pub fn create(&self, name: &str, text: &str) {
        let path = self.dir.path().join(name);
        fs::write(path, text).expect("the folder is writable");
    }

    /// Runs `wasabiloft` in the folder and waits for it to exit.
    pub fn run(&self, args: &[&str]) -> Output {
        Command::new(env!("CARGO_BIN_EXE_wasabiloft"))
            .current_dir(self.dir.path())
            .args(args)
            .output()
            .expect("the command starts")
    }
}

/// Returns the path of a file or folder in the repository.
pub fn repository(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("..").join(name)
}

/// Returns the text of a file in the `examples` folder.
pub fn example(name: &str) -> String {
    fs::read_to_string(repository("examples").join(name)).expect("the example exists")
}

/// Returns the standard output of a command as text.
pub fn stdout(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}
