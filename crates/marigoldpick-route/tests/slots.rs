//! Tests of slot leases: the slots in use never exceed an endpoint's slots, and slots move to
//! demand.

use googletest::prelude::*;
use marigoldpick_core::peer::{Demand, Grant, Lease, Want};
use marigoldpick_core::prelude::*;
use marigoldpick_route::arbiter::{Arbiter, Assignment, VOTE_SPAN};
use marigoldpick_route::holder::{Holder, Target};
use proptest::prelude::{Strategy, any, prop};
use proptest::proptest;

const SLOTS: u32 = 8;
const ENDPOINTS: usize = 3;
const STEP: Millis = Millis(10);
const RUN: Millis = Millis(200);
/// How long a lapsed lease still counts in tests that end earlier.
const LONG: Millis = Millis::from_secs(20);

fn endpoint(at: usize) -> id::Endpoint {
    id::Endpoint::new(&format!("endpoint-{at}")).unwrap()
}

fn entry(at: usize) -> id::Entry {
    id::Entry::new(&format!("entry-{at}")).unwrap()
}

/// `Node` is an entry with its leases, its requests in flight, and the arbiter that it believes in.
struct Node {
    holder: Holder,
    arbiter: Arbiter,
    believed_arbiter: usize,
    incarnation: u64,
    slots: [u32; ENDPOINTS],
    until: [Millis; ENDPOINTS],
    in_flight: Vec<(usize, Millis)>,
    /// The number of requests in flight that an earlier incarnation started; they come first.
    lost: usize,
    demand: u32,
    paused_until: Millis,
    started: Millis,
}

enum Message {
    Demand {
        from: usize,
        to: usize,
        demand: Demand,
    },
    Grant {
        from: usize,
        to: usize,
        sequence: u64,
        grant: Grant,
    },
}

/// `World` is a set of entries, any of which may be an arbiter, with messages that are delayed or
/// lost.
struct World {
    now: Millis,
    nodes: Vec<Node>,
    messages: Vec<(Millis, Message)>,
}

impl World {
    fn new(nodes: usize) -> Self {
        let mut world = Self {
            now: Millis(0),
            nodes: (0..nodes).map(Node::new).collect(),
            messages: Vec::new(),
        };
        world
            .nodes
            .iter_mut()
            .for_each(|node| node.set_members(nodes));
        (0..nodes).for_each(|at| world.set_arbiter(at, 0));
        world
    }

    /// Sets which entry an entry believes to be the arbiter.
    fn set_arbiter(&mut self, at: usize, arbiter: usize) {
        let assignment = |at| Assignment {
            endpoint: endpoint(at),
            slots: SLOTS,
            cover: RUN,
        };
        let node = &mut self.nodes[at];
        node.believed_arbiter = arbiter;
        let assignments = (0..ENDPOINTS).filter(|_| arbiter == at).map(assignment);
        node.arbiter
            .set_assignments(assignments.collect(), self.now);
    }

    /// Restarts an entry; its requests in flight may still run.
    fn restart(&mut self, at: usize) {
        let nodes = self.nodes.len();
        let old = &self.nodes[at];
        let believed_arbiter = old.believed_arbiter;
        let mut node = Node::new(at);
        node.incarnation = old.incarnation + 1;
        node.holder = Holder::new(entry(at), node.incarnation);
        node.in_flight.clone_from(&old.in_flight);
        node.lost = old.in_flight.len();
        node.set_members(nodes);
        node.started = self.now;
        self.nodes[at] = node;
        self.set_arbiter(at, believed_arbiter);
    }

    fn used(&self, endpoint: usize) -> usize {
        let of = |node: &Node| node.in_flight.iter().filter(|f| f.0 == endpoint).count();
        self.nodes.iter().map(of).sum()
    }

    /// Advances time by one step; `delay` returns how long a message takes, or `None` for a lost
    /// one.
    fn step(&mut self, mut delay: impl FnMut() -> Option<u64>) {
        self.now += STEP;
        let now = self.now;
        let started = self.nodes.iter().map(|node| node.started).max();
        for (from, node) in self.nodes.iter_mut().enumerate() {
            node.remove_ended(now);
            node.arbiter.set_started(started);
            if node.paused_until > now {
                continue;
            }
            node.arbiter.tick(now);
            node.start(now);
            for (arbiter, demand) in node.holder.poll(node.targets(now), now) {
                if let Some(delay) = delay() {
                    let to = number(&arbiter);
                    let message = Message::Demand { from, to, demand };
                    self.messages.push((now + Millis(delay), message));
                }
            }
        }
        self.deliver(delay);
    }

    fn deliver(&mut self, mut delay: impl FnMut() -> Option<u64>) {
        let now = self.now;
        let due = |message: &mut (Millis, Message)| message.0 <= now;
        let due: Vec<_> = self.messages.extract_if(.., due).collect();
        for (_, message) in due {
            let (Message::Demand { to, .. } | Message::Grant { to, .. }) = message;
            if self.nodes[to].paused_until > now {
                // A paused process reads the message when it resumes.
                self.messages.push((self.nodes[to].paused_until, message));
                continue;
            }
            match message {
                Message::Demand { from, to, demand } => {
                    let grant = self.nodes[to].arbiter.handle_demand(&demand, now);
                    if let Some(delay) = delay() {
                        let answer = Message::Grant {
                            from: to,
                            to: from,
                            sequence: demand.sequence,
                            grant,
                        };
                        self.messages.push((now + Millis(delay), answer));
                    }
                }
                Message::Grant {
                    from,
                    to,
                    sequence,
                    grant,
                } => {
                    self.nodes[to].apply_grant(from, sequence, &grant);
                }
            }
        }
    }
}

fn number(entry: &id::Entry) -> usize {
    entry.as_str()["entry-".len()..].parse().unwrap()
}

impl Node {
    fn new(at: usize) -> Self {
        Self {
            holder: Holder::new(entry(at), 1),
            arbiter: Arbiter::default(),
            believed_arbiter: 0,
            incarnation: 1,
            slots: [0; ENDPOINTS],
            until: [Millis(0); ENDPOINTS],
            in_flight: Vec::new(),
            lost: 0,
            demand: 0,
            paused_until: Millis(0),
            started: Millis(0),
        }
    }

    fn set_members(&mut self, nodes: usize) {
        let all: Vec<id::Entry> = (0..nodes).map(entry).collect();
        self.arbiter.set_entries(all.clone(), all);
    }

    /// Removes the requests that have ended; those of an earlier incarnation come first.
    fn remove_ended(&mut self, now: Millis) {
        let lost = self.in_flight.iter().take(self.lost);
        self.lost = lost.filter(|request| request.1 > now).count();
        self.in_flight.retain(|request| request.1 > now);
    }

    fn held(&self, at: usize, now: Millis) -> u32 {
        if now < self.until[at] {
            self.slots[at]
        } else {
            0
        }
    }

    fn used(&self, at: usize) -> u32 {
        let own = self.in_flight.iter().skip(self.lost);
        own.filter(|request| request.0 == at).count() as u32
    }

    /// Starts as many requests as demand and leases allow.
    fn start(&mut self, now: Millis) {
        for at in 0..ENDPOINTS {
            while self.used(at) < self.held(at, now).min(self.demand) {
                self.in_flight.push((at, now + RUN));
            }
        }
    }

    fn targets(&self, now: Millis) -> Vec<Target> {
        let target = |at| Target {
            arbiter: entry(self.believed_arbiter),
            want: Want {
                endpoint: endpoint(at),
                held: self.held(at, now),
                used: self.used(at),
                want: self.demand,
                cover: RUN,
            },
        };
        (0..ENDPOINTS).map(target).collect()
    }

    fn apply_grant(&mut self, from: usize, sequence: u64, grant: &Grant) {
        for update in self
            .holder
            .handle_answer(&entry(from), sequence, Some(grant))
        {
            let at = (0..ENDPOINTS).find(|at| endpoint(*at) == update.endpoint);
            let at = at.unwrap();
            self.slots[at] = update.slots.unwrap_or(self.slots[at]);
            self.until[at] = update.until;
        }
    }
}

/// `Event` is a change during a run: of an entry's demand or of its arbiter, a pause, or a restart.
#[derive(Clone, Copy, Debug)]
enum Event {
    Demand(usize, u32),
    Pause(usize, u64),
    Believe(usize, usize),
    BelieveAll(usize),
    Restart(usize),
}

fn events() -> impl Strategy<Value = Vec<(u16, Event)>> {
    let event =
        (0_u8..9, 0_usize..4, 0_u32..12, 0_u64..4_000).prop_map(|(kind, at, n, span)| match kind {
            0 => Event::Restart(at),
            1 => Event::Pause(at, span),
            2 | 3 => Event::Believe(at, n as usize % 4),
            4 => Event::BelieveAll(at),
            _ => Event::Demand(at, n),
        });
    prop::collection::vec((0_u16..500, event), 1..40)
}

proptest! {
    /// Entries disagree on who is the arbiter, pause and restart, and answers are lost or late.
    #[test]
    fn arbiters_and_holders_never_exceed_the_slots(
        events in events(),
        nodes in 1_usize..5,
        seed in any::<u64>(),
    ) {
        let mut world = World::new(nodes);
        let mut state = seed | 1;
        let mut draw = move || {
            state ^= state << 13;
            state ^= state >> 7;
            state ^= state << 17;
            state
        };
        for (steps, event) in events {
            match event {
                Event::Demand(at, demand) => world.nodes[at % nodes].demand = demand,
                Event::Pause(at, span) => {
                    world.nodes[at % nodes].paused_until = world.now + Millis(span);
                }
                Event::Believe(at, arbiter) => world.set_arbiter(at % nodes, arbiter % nodes),
                Event::BelieveAll(arbiter) => {
                    (0..nodes).for_each(|at| world.set_arbiter(at, arbiter % nodes));
                }
                Event::Restart(at) => world.restart(at % nodes),
            }
            for _ in 0..=steps {
                world.step(|| {
                    let drawn = draw();
                    let late = if (drawn >> 4).is_multiple_of(64) { 3_000 } else { 60 };
                    (!drawn.is_multiple_of(16)).then_some((drawn >> 16) % late)
                });
                for at in 0..ENDPOINTS {
                    assert!(world.used(at) <= SLOTS as usize, "{} in use", world.used(at));
                }
            }
        }
    }

    #[test]
    fn arbiter_gives_all_slots_to_the_only_demand(first in 0_usize..3, second in 0_usize..3) {
        let mut world = World::new(3);
        for at in [first, second] {
            world.nodes.iter_mut().for_each(|node| node.demand = 0);
            world.nodes[at].demand = SLOTS;
            for _ in 0..150 {
                world.step(|| Some(1));
            }
            let now = world.now;
            for endpoint in 0..ENDPOINTS {
                assert_eq!(world.nodes[at].held(endpoint, now), SLOTS);
            }
        }
    }
}

#[googletest::test]
fn arbiter_reassigns_a_dead_entrys_slots_after_lease_and_cover() {
    let mut world = World::new(3);
    world.nodes[2].demand = SLOTS;
    (0..100).for_each(|_| world.step(|| Some(1)));
    expect_that!(world.nodes[2].held(0, world.now), eq(SLOTS));
    world.nodes[2].paused_until = Millis::MAX;
    world.nodes[1].demand = SLOTS;
    (0..50).for_each(|_| world.step(|| Some(1)));
    expect_that!(world.nodes[1].held(0, world.now), eq(0));
    (0..350).for_each(|_| world.step(|| Some(1)));
    expect_that!(world.nodes[1].held(0, world.now), eq(SLOTS));
}

/// Returns how many slots of an endpoint entry 0 holds long after `dead` of `nodes` entries died.
fn held_after_deaths(nodes: usize, dead: usize) -> u32 {
    let mut world = World::new(nodes);
    (0..100).for_each(|_| world.step(|| Some(1)));
    for at in nodes - dead..nodes {
        world.nodes[at].paused_until = Millis::MAX;
    }
    world.nodes[0].demand = SLOTS;
    (0..1_000).for_each(|_| world.step(|| Some(1)));
    world.nodes[0].held(0, world.now)
}

#[googletest::test]
fn arbiter_grants_what_its_votes_allow() {
    expect_that!(held_after_deaths(1, 0), eq(SLOTS));
    expect_that!(held_after_deaths(3, 1), eq(SLOTS));
    expect_that!(held_after_deaths(2, 1), eq(SLOTS / 2));
    expect_that!(held_after_deaths(3, 2), eq(0));
}

#[googletest::test]
fn arbiter_that_takes_over_keeps_leases_alive() {
    let mut world = World::new(3);
    world.nodes[1].demand = SLOTS;
    (0..100).for_each(|_| world.step(|| Some(1)));
    (0..3).for_each(|at| world.set_arbiter(at, 2));
    for _ in 0..300 {
        world.step(|| Some(1));
        expect_that!(world.nodes[1].held(0, world.now), eq(SLOTS));
    }
}

/// Returns an arbiter of the first endpoint, where lapsed leases count until after the test.
fn new_arbiter() -> Arbiter {
    let mut arbiter = Arbiter::default();
    let assignment = Assignment {
        endpoint: endpoint(0),
        slots: SLOTS,
        cover: LONG,
    };
    arbiter.set_assignments(vec![assignment], Millis(0));
    arbiter
}

/// Sends a demand of entry `at` for slots of the first endpoint; returns how many it may use.
fn ask(arbiter: &mut Arbiter, at: usize, [held, want]: [u32; 2], now: Millis) -> u32 {
    let first = now < Millis(300);
    let want = Want {
        endpoint: endpoint(0),
        held,
        used: 0,
        want,
        cover: LONG,
    };
    let demand = Demand {
        entry: entry(at),
        incarnation: 1,
        sequence: now.0,
        whole: first,
        wants: vec![want],
    };
    arbiter
        .handle_demand(&demand, now)
        .leases
        .first()
        .map_or(0, |lease| lease.slots)
}

#[googletest::test]
fn arbiter_moves_the_slots_of_an_entry_that_returns_after_its_lease_lapsed() {
    let mut arbiter = new_arbiter();
    arbiter.set_entries(vec![entry(0), entry(1)], vec![entry(0), entry(1)]);
    ask(&mut arbiter, 0, [0, SLOTS], Millis(100));
    ask(&mut arbiter, 1, [0, 0], Millis(200));
    ask(&mut arbiter, 0, [0, SLOTS], Millis(300));
    ask(&mut arbiter, 1, [0, 0], Millis(400));
    let held = ask(&mut arbiter, 0, [0, SLOTS], Millis(500));
    expect_that!(held, eq(SLOTS));
    (6..40).for_each(|tick| arbiter.tick(Millis(tick * 100)));
    // As far as the others know, entry 0 may still have requests in flight.
    for now in [4_000, 4_100] {
        let other = ask(&mut arbiter, 1, [0, SLOTS], Millis(now));
        expect_that!(other, eq(0));
    }
    ask(&mut arbiter, 0, [0, 0], Millis(4_200));
    ask(&mut arbiter, 0, [0, 0], Millis(4_300));
    let other = ask(&mut arbiter, 1, [0, SLOTS], Millis(4_400));
    expect_that!(other, eq(SLOTS));
}

#[googletest::test]
fn arbiter_that_is_new_waits_for_a_draining_entry() {
    let mut arbiter = new_arbiter();
    // Entry 2 drains: it has no vote, but still uses three slots.
    let voters = vec![entry(0), entry(1)];
    arbiter.set_entries(vec![entry(0), entry(1), entry(2)], voters);
    for now in [100, 140, 180, 220] {
        let held = ask(&mut arbiter, 0, [0, SLOTS], Millis(now));
        expect_that!(held, eq(0));
        ask(&mut arbiter, 1, [0, 0], Millis(now + 10));
    }
    ask(&mut arbiter, 2, [3, 0], Millis(260));
    ask(&mut arbiter, 2, [3, 0], Millis(310));
    ask(&mut arbiter, 0, [0, SLOTS], Millis(600));
    ask(&mut arbiter, 1, [0, 0], Millis(610));
    let held = ask(&mut arbiter, 0, [0, SLOTS], Millis(700));
    expect_that!(held, eq(SLOTS - 3));
}

#[googletest::test]
fn holder_asks_a_new_arbiter_when_its_vote_for_the_previous_one_has_lapsed() {
    let mut holder = Holder::new(entry(0), 1);
    let target = |arbiter| Target {
        arbiter: entry(arbiter),
        want: Want {
            endpoint: endpoint(0),
            held: 0,
            used: 0,
            want: SLOTS,
            cover: RUN,
        },
    };
    let lease = |slots| Grant {
        resend: false,
        span: Millis(2_000),
        leases: vec![Lease {
            endpoint: endpoint(0),
            slots,
        }],
    };
    let first = holder.poll(vec![target(1)], Millis(0));
    expect_that!(first.len(), eq(1));
    for now in (0..1_000).step_by(20) {
        expect_that!(holder.poll(vec![target(2)], Millis(now)), is_empty());
    }
    let second = holder.poll(vec![target(2)], VOTE_SPAN + Millis(200));
    expect_that!(second.len(), eq(1));
    let late = holder.handle_answer(&entry(1), first[0].1.sequence, Some(&lease(3)));
    expect_that!(late, is_empty());
    let taken = holder.handle_answer(&entry(2), second[0].1.sequence, Some(&lease(4)));
    expect_that!(taken[0].slots, eq(Some(4)));
}
