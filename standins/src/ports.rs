//! Assigns the ports of daemons and proxies.
//!
//! Test processes run in parallel, and a daemon or proxy that stops must find its port free when it listens again. So each
//! process reserves the ports that it uses until it ends.

use std::collections::VecDeque;
use std::fs;
use std::io;
use std::net::{Ipv4Addr, TcpListener};
use std::ops::Range;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// First port that is assigned. The range lies below the system's ephemeral ports: an outgoing connection on a port would
/// keep a daemon or a proxy from listening there again.
const FIRST_PORT: u16 = 11_000;
/// End of the range that starts at [`FIRST_PORT`].
const LAST_PORT: u16 = 32_000;

/// Number of ports that a process reserves at a time.
const PORTS_PER_BLOCK: u16 = 250;

/// The ports that this process has reserved.
#[derive(Debug)]
struct Ports {
    /// The reserved blocks, least recently used first; each is reserved by the lock of its file.
    blocks: VecDeque<(fs::File, Range<u16>)>,
    /// Ports of the block in use that were not handed out.
    left: Range<u16>,
}

static PORTS: Mutex<Ports> = Mutex::new(Ports {
    blocks: VecDeque::new(),
    left: 0..0,
});

/// Reserves a block of ports; `None` if all are reserved.
fn reserve_block() -> io::Result<Option<(fs::File, Range<u16>)>> {
    let folder = std::env::temp_dir().join("wasabiloft-ports");
    fs::create_dir_all(&folder)?;
    for first in (FIRST_PORT..=LAST_PORT - PORTS_PER_BLOCK).step_by(PORTS_PER_BLOCK.into()) {
        let file = fs::File::create(folder.join(first.to_string()))?;
        match file.try_lock() {
            Ok(()) => return Ok(Some((file, first..first + PORTS_PER_BLOCK))),
            Err(fs::TryLockError::WouldBlock) => {}
            Err(fs::TryLockError::Error(error)) => return Err(error),
        }
    }
    Ok(None)
}

/// Returns the first of `count` consecutive ports on which nothing listens.
///
/// # Errors
///
/// Returns an error if no ports are left, or the files that reserve them can't be written.
pub fn take(count: u16) -> io::Result<u16> {
    let mut ports = lock();
    for _ in FIRST_PORT..LAST_PORT {
        if ports.left.len() < count.into() {
            let block = reserve_block()?.or_else(|| ports.blocks.pop_front());
            let block = block.ok_or_else(|| io::Error::other("no free ports"))?;
            ports.left = block.1.clone();
            ports.blocks.push_back(block);
        }
        let first = ports.left.start;
        ports.left.start += count;
        let listeners =
            (first..first + count).map(|port| TcpListener::bind((Ipv4Addr::LOCALHOST, port)));
        if listeners.collect::<io::Result<Vec<_>>>().is_ok() {
            return Ok(first);
        }
    }
    Err(io::Error::other("no free ports"))
}

fn lock() -> MutexGuard<'static, Ports> {
    PORTS.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Keeps ports from being probed until the guard is dropped: a child process holds the listeners of a probe until it executes
/// its program.
pub fn hold() -> impl Drop {
    lock()
}
