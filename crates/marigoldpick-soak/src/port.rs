//! Free ports for programs that have to be told theirs, and keep them over a restart.

use std::net::TcpListener;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU16, Ordering};

/// Ports below the range from which systems draw those of outgoing connections.
const RANGE: std::ops::Range<u16> = 12_000..32_000;
/// The ports of one process; its first one is held as long as the process runs, so that no other soak
/// takes ports that are free only while an entry is down.
const BLOCK: u16 = 250;

static OWN: OnceLock<Option<(u16, TcpListener)>> = OnceLock::new();
static NEXT: AtomicU16 = AtomicU16::new(0);

/// Returns a loopback address with a port that is free and stays this process's.
///
/// # Errors
/// Fails when other processes hold all blocks of ports.
pub(crate) fn free() -> std::io::Result<String> {
    let own = OWN.get_or_init(take_block);
    let Some((first, _)) = own else {
        return Err(std::io::Error::other("no block of ports is free"));
    };
    for _ in 0..BLOCK {
        let step = NEXT.fetch_add(1, Ordering::SeqCst) % (BLOCK - 1);
        let address = format!("127.0.0.1:{}", first + 1 + step);
        if TcpListener::bind(&address).is_ok() {
            return Ok(address);
        }
    }
    Err(std::io::Error::other("no port of the block is free"))
}

fn take_block() -> Option<(u16, TcpListener)> {
    let mut firsts = RANGE.step_by(BLOCK as usize);
    firsts.find_map(|first| {
        let held = TcpListener::bind(("127.0.0.1", first)).ok()?;
        Some((first, held))
    })
}
