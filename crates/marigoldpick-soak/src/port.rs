//! Free ports for programs that need a fixed port in their settings, also across a restart.

use std::net::TcpListener;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU16, Ordering};

/// Ports below the range from which operating systems take ephemeral ports.
const PORT_RANGE: std::ops::Range<u16> = 12_000..32_000;
/// The number of ports in the block of one process. The process keeps the first port of its block
/// bound while it runs, so that no other soak takes a port that is free only while an entry is down.
const BLOCK_SIZE: u16 = 250;

static OWN_BLOCK: OnceLock<Option<(u16, TcpListener)>> = OnceLock::new();
static NEXT_OFFSET: AtomicU16 = AtomicU16::new(0);

/// Returns a loopback address with a free port from this process's block.
///
/// # Errors
/// Fails when other processes hold all blocks of ports.
pub fn allocate() -> std::io::Result<String> {
    let block = OWN_BLOCK.get_or_init(reserve_block);
    let Some((first, _)) = block else {
        return Err(std::io::Error::other("no block of ports is free"));
    };
    for _ in 0..BLOCK_SIZE {
        let offset = NEXT_OFFSET.fetch_add(1, Ordering::SeqCst) % (BLOCK_SIZE - 1);
        let address = format!("127.0.0.1:{}", first + 1 + offset);
        if TcpListener::bind(&address).is_ok() {
            return Ok(address);
        }
    }
    Err(std::io::Error::other("no port of the block is free"))
}

fn reserve_block() -> Option<(u16, TcpListener)> {
    let mut firsts = PORT_RANGE.step_by(BLOCK_SIZE as usize);
    firsts.find_map(|first| {
        let held = TcpListener::bind(("127.0.0.1", first)).ok()?;
        Some((first, held))
    })
}
