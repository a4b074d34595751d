//! A fresh folder and the command run in it.

use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

use tempfile::TempDir;

/// A folder that is removed at the end of the test.
pub struct Workdir {
    dir: TempDir,
}

impl Workdir {
    /// Makes an empty folder.
    pub fn create_empty() -> Self {
        let dir = tempfile::tempdir().expect("a folder can be made");
        Self { dir }
    }

    /// Where it is.
    pub fn path(&self) -> &Path {
        self.dir.path()
    }

    /// Writes a file into it.
    pub fn create(&self, name: &str, text: &str) {
        let path = self.dir.path().join(name);
        fs::write(path, text).expect("the folder is writable");
    }

    /// Runs `wasabiloft` in it.
    pub fn run(&self, args: &[&str]) -> Output {
        Command::new(env!("CARGO_BIN_EXE_wasabiloft"))
            .current_dir(self.dir.path())
            .args(args)
            .output()
            .expect("the command starts")
    }
}

/// A folder of the repository.
pub fn repository(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("..").join(name)
}

/// The text of an example's document.
pub fn example(name: &str) -> String {
    fs::read_to_string(repository("examples").join(name)).expect("the example exists")
}

/// What a command printed.
pub fn stdout(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}
