//! Decides which connections are accepted, how many bytes requests may hold, and which are evicted.
//!
//! Load pattern: over a thousand clients send requests that stop just short of their end and stay open,
//! while ordinary callers send small requests that arrive within milliseconds. A request that has been
//! arriving for longer than [`MIN_EVICTION_AGE`] is evicted for newer ones. While there is none, the
//! newer one is refused, since many clients at once would otherwise evict every request, ordinary ones
//! too. Small requests hold nothing that counts here, and large ones can't take the last quarter.

use marigoldpick_core::prelude::*;

/// Bytes of a request that count as part of its connection.
pub const BASE_BYTES: usize = 4_096;
/// Requests up to this size may use the whole budget, larger ones three quarters of it.
pub const SMALL_BYTES: usize = 32_768;
/// The time from which on a request in arrival may be evicted. A body of 262,144 bytes
/// takes 0.2 s on the slowest link of 10 Mbit/s.
pub const MIN_EVICTION_AGE: Millis = Millis(1_000);
/// The time from which on a connection that holds nothing may be evicted.
pub const MIN_IDLE_EVICTION_AGE: Millis = Millis(250);
/// The share of the budget that may be exceeded by connections that are told to close: a quarter.
const CLOSING_SHARE: usize = 4;
/// The connections of a listener for operators or for the load balancer.
pub const SERVICE_CONNECTIONS: usize = 64;

/// `Limits` bounds the whole process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The bytes that all requests may hold.
    pub bytes: usize,
    /// The connections of callers.
    pub connections: usize,
}

/// `Port` is the listener that a connection belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Port {
    /// The listener for callers.
    Callers,
    /// The listener for readiness checks.
    Readiness,
    /// The listener for operators.
    Operators,
}

/// `Stage` is what a connection does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// No byte of the next request has arrived.
    Idle,
    /// A part of a head has arrived.
    Head,
    /// The head and a part of the body have arrived.
    Body,
    /// A request was read and is not answered yet.
    Handling,
    /// An answer is being written.
    Answer,
    /// What a refused client still sends is discarded.
    Closing,
}

/// `Connection` is what the budget knows of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Connection {
    id: u64,
    port: Port,
    stage: Stage,
    /// When the connection began to wait for what its stage needs of the client.
    since: Millis,
    deadline: Millis,
    held: usize,
    /// Whether the connection is told to close; what it holds is about to be released.
    closing: bool,
}

/// `Opened` is the decision on a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Opened {
    /// It is accepted under this id; the second connection, if any, has to be closed.
    Accepted(u64, Option<u64>),
    /// It is refused.
    Refused,
}

/// `Held` is the decision on bytes that a request wants to hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Held {
    /// It may hold them; these connections have to be closed.
    Granted(Vec<u64>),
    /// There is no room now.
    Refused,
    /// There is never room for as many.
    TooLarge,
}

/// `Budget` holds the connections of a process and what they hold.
#[derive(Clone, Debug)]
pub struct Budget {
    limits: Limits,
    next: u64,
    /// The connections, sorted by id.
    connections: Vec<Connection>,
    /// The bytes of all connections, without those that are closing.
    held: usize,
    /// The bytes of connections that are closing.
    closing_bytes: usize,
    /// The bytes of large requests, without those of connections that are closing.
    large: usize,
}

impl Budget {
    /// Creates a budget without connections.
    #[must_use]
    pub const fn new(limits: Limits) -> Self {
        Self {
            limits,
            next: 0,
            connections: Vec::new(),
            held: 0,
            closing_bytes: 0,
            large: 0,
        }
    }

    /// Returns the number of open connections, and the bytes that they hold.
    #[must_use]
    pub const fn usage(&self) -> (usize, usize) {
        (self.connections.len(), self.held + self.closing_bytes)
    }

    /// Decides on a new connection, which is closed at `deadline` if it sends nothing.
    ///
    /// From 15/16 of the limit on, each new connection closes the one that has waited longest.
    pub fn open(&mut self, port: Port, now: Millis, deadline: Millis) -> Opened {
        let limit = match port {
            Port::Callers => self.limits.connections,
            Port::Readiness | Port::Operators => SERVICE_CONNECTIONS,
        };
        let open = self.connections.iter().filter(|c| c.port == port).count();
        let closing = self
            .connections
            .iter()
            .filter(|c| c.port == port && c.closing);
        let mut victim = None;
        if open - closing.count() >= limit - limit / 16 {
            victim = self.find_victim(now, |c| c.port == port);
        }
        if open >= limit {
            return Opened::Refused;
        }
        victim.into_iter().for_each(|id| self.mark_closing(id));
        let id = self.next;
        self.next += 1;
        self.connections.push(Connection {
            id,
            port,
            stage: Stage::Idle,
            since: now,
            deadline,
            held: 0,
            closing: false,
        });
        Opened::Accepted(id, victim)
    }

    /// Closes the connection that has waited longest, for want of descriptors.
    pub fn shed(&mut self, now: Millis) -> Option<u64> {
        let victim = self.find_victim(now, |_| true);
        victim.into_iter().for_each(|id| self.mark_closing(id));
        victim
    }

    /// Moves a connection to a stage that ends at `deadline`.
    ///
    /// Returns whether it may go on; it may not if it is closing.
    pub fn enter(&mut self, id: u64, stage: Stage, now: Millis, deadline: Millis) -> bool {
        let Some(connection) = self.find(id) else {
            return false;
        };
        connection.stage = stage;
        connection.deadline = deadline;
        connection.since = now;
        !connection.closing
    }

    /// Decides whether a connection may hold `total` bytes.
    pub fn hold(&mut self, id: u64, total: usize, now: Millis) -> Held {
        let Some(connection) = self.find(id).map(|connection| *connection) else {
            return Held::Refused;
        };
        if total <= connection.held {
            return Held::Granted(Vec::new());
        }
        if total > self.large_limit() {
            return Held::TooLarge;
        }
        if connection.closing {
            return Held::Refused;
        }
        let (mut over, mut over_large) = self.excess(connection.held, total);
        let mut victims = Vec::new();
        let mut freed = 0;
        if over + over_large > 0 {
            let mut candidates: Vec<&Connection> = self.connections.iter().collect();
            candidates.retain(|c| c.id != id && c.held > 0 && Self::is_evictable(c, now));
            candidates.sort_unstable_by_key(|c| c.since);
            for candidate in candidates {
                if over + over_large == 0 {
                    break;
                }
                if over > 0 || candidate.held > SMALL_BYTES {
                    over = over.saturating_sub(candidate.held);
                    over_large = over_large.saturating_sub(large_part(candidate.held));
                    freed += candidate.held;
                    victims.push(candidate.id);
                }
            }
        }
        // Connections that are closing hold their memory a little longer.
        let exceeds_closing_share = self.closing_bytes + freed > self.limits.bytes / CLOSING_SHARE;
        if over + over_large > 0 || (freed > 0 && exceeds_closing_share) {
            return Held::Refused;
        }
        for victim in &victims {
            self.mark_closing(*victim);
        }
        self.set_held(id, total);
        Held::Granted(victims)
    }

    /// Records that a connection holds `total` bytes, which can't be refused: those of an answer.
    pub fn record(&mut self, id: u64, total: usize) {
        self.set_held(id, total);
    }

    /// Removes a connection.
    pub fn close(&mut self, id: u64) {
        self.set_held(id, 0);
        if let Ok(at) = self.connections.binary_search_by_key(&id, |c| c.id) {
            self.connections.remove(at);
        }
    }

    /// Returns the connections whose deadlines have passed, with their stages; they have to be closed.
    pub fn overdue(&mut self, now: Millis) -> Vec<(u64, Stage)> {
        let late = |c: &&Connection| !c.closing && c.stage != Stage::Handling && c.deadline <= now;
        let found = self.connections.iter().filter(late);
        let found: Vec<(u64, Stage)> = found.map(|c| (c.id, c.stage)).collect();
        for (id, _) in &found {
            self.mark_closing(*id);
        }
        found
    }

    /// Returns by how many bytes the budget, and the share of large requests, are exceeded when a
    /// connection that holds `before` bytes holds `total`.
    const fn excess(&self, before: usize, total: usize) -> (usize, usize) {
        let over = (self.held - before + total).saturating_sub(self.limits.bytes);
        if total <= SMALL_BYTES {
            return (over, 0);
        }
        let large = self.large - large_part(before) + total;
        (over, large.saturating_sub(self.large_limit()))
    }

    const fn large_limit(&self) -> usize {
        self.limits.bytes - self.limits.bytes / 4
    }

    fn is_evictable(connection: &Connection, now: Millis) -> bool {
        let min_age = if connection.held > 0 || connection.stage == Stage::Answer {
            MIN_EVICTION_AGE
        } else {
            MIN_IDLE_EVICTION_AGE
        };
        !connection.closing
            && connection.stage != Stage::Handling
            && now.since(connection.since) >= min_age
    }

    fn find_victim(&self, now: Millis, fits: impl Fn(&Connection) -> bool) -> Option<u64> {
        let candidates = self.connections.iter();
        let candidates = candidates.filter(|c| fits(c) && Self::is_evictable(c, now));
        candidates.min_by_key(|c| c.since).map(|c| c.id)
    }

    fn find(&mut self, id: u64) -> Option<&mut Connection> {
        let found = self.connections.binary_search_by_key(&id, |c| c.id);
        found.ok().map(|at| &mut self.connections[at])
    }

    fn mark_closing(&mut self, id: u64) {
        let Some(connection) = self.find(id).filter(|c| !c.closing) else {
            return;
        };
        connection.closing = true;
        let held = connection.held;
        self.held -= held;
        self.large -= large_part(held);
        self.closing_bytes += held;
    }

    fn set_held(&mut self, id: u64, total: usize) {
        let Some(connection) = self.find(id) else {
            return;
        };
        let before = std::mem::replace(&mut connection.held, total);
        if connection.closing {
            self.closing_bytes = self.closing_bytes - before + total;
        } else {
            self.held = self.held - before + total;
            self.large = self.large - large_part(before) + large_part(total);
        }
    }
}

/// Returns what a connection that holds `held` bytes counts among large requests.
const fn large_part(held: usize) -> usize {
    if held > SMALL_BYTES { held } else { 0 }
}
