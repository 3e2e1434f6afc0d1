//! Slot leases: the sum in use never passes an endpoint's slots, and demand moves them.

use googletest::prelude::*;
use marigoldpick_core::peer::{Demand, Grant, Want};
use marigoldpick_core::prelude::*;
use marigoldpick_route::arbiter::{Arbiter, Charge};
use marigoldpick_route::holder::{Holder, Target};
use proptest::prelude::{Strategy, any, prop};
use proptest::proptest;

const SLOTS: u32 = 8;
const ENDPOINTS: usize = 3;
const STEP: Millis = Millis(10);
const RUN: Millis = Millis(200);
/// How long a lapsed lease counts where it must outlast the test.
const LONG: Millis = Millis::from_secs(20);

fn endpoint(at: usize) -> id::Endpoint {
    id::Endpoint::new(&format!("endpoint-{at}")).unwrap()
}

fn entry(at: usize) -> id::Entry {
    id::Entry::new(&format!("entry-{at}")).unwrap()
}

/// One entry: its leases, and when each request in flight ends.
struct Node {
    holder: Holder,
    slots: [u32; ENDPOINTS],
    until: [Millis; ENDPOINTS],
    flights: Vec<(usize, Millis)>,
    demand: u32,
    paused: Millis,
}

enum Message {
    Demand(usize, Demand),
    Grant(usize, u64, Option<Grant>),
}

/// `World` is one arbiter and some entries with messages that take a while or are lost.
struct World {
    now: Millis,
    arbiter: Arbiter,
    nodes: Vec<Node>,
    messages: Vec<(Millis, Message)>,
}

impl World {
    fn new(nodes: usize) -> Self {
        let mut arbiter = Arbiter::default();
        let charge = |at| Charge {
            endpoint: endpoint(at),
            slots: SLOTS,
            cover: RUN,
        };
        arbiter.set((0..ENDPOINTS).map(charge).collect(), Millis(0));
        arbiter.set_entries((0..nodes).map(entry).collect());
        let node = |at: usize| Node {
            holder: Holder::new(entry(at), 1),
            slots: [0; ENDPOINTS],
            until: [Millis(0); ENDPOINTS],
            flights: Vec::new(),
            demand: 0,
            paused: Millis(0),
        };
        Self {
            now: Millis(0),
            arbiter,
            nodes: (0..nodes).map(node).collect(),
            messages: Vec::new(),
        }
    }

    fn used(&self, endpoint: usize) -> usize {
        let of = |node: &Node| node.flights.iter().filter(|f| f.0 == endpoint).count();
        self.nodes.iter().map(of).sum()
    }

    /// Lets one step pass; `delay` tells how long a message takes, none for a lost one.
    fn step(&mut self, mut delay: impl FnMut() -> Option<u64>) {
        self.now += STEP;
        let now = self.now;
        self.arbiter.tick(now);
        for (at, node) in self.nodes.iter_mut().enumerate() {
            node.flights.retain(|flight| flight.1 > now);
            if node.paused > now {
                continue;
            }
            node.start(now);
            for (_, demand) in node.holder.poll(node.targets(now), now) {
                if let Some(delay) = delay() {
                    let message = Message::Demand(at, demand);
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
            match message {
                Message::Demand(from, demand) => {
                    let grant = self.arbiter.demand(&demand, now);
                    if let Some(delay) = delay() {
                        let answer = Message::Grant(from, demand.sequence, Some(grant));
                        self.messages.push((now + Millis(delay), answer));
                    }
                }
                Message::Grant(to, ..) if self.nodes[to].paused > now => {}
                Message::Grant(to, sequence, grant) => {
                    self.nodes[to].take(sequence, grant.as_ref());
                }
            }
        }
    }
}

impl Node {
    fn held(&self, at: usize, now: Millis) -> u32 {
        if now < self.until[at] {
            self.slots[at]
        } else {
            0
        }
    }

    fn used(&self, at: usize) -> u32 {
        self.flights.iter().filter(|flight| flight.0 == at).count() as u32
    }

    /// Starts as many requests as demand and leases allow.
    fn start(&mut self, now: Millis) {
        for at in 0..ENDPOINTS {
            while self.used(at) < self.held(at, now).min(self.demand) {
                self.flights.push((at, now + RUN));
            }
        }
    }

    fn targets(&self, now: Millis) -> Vec<Target> {
        let target = |at| Target {
            arbiter: entry(0),
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

    fn take(&mut self, sequence: u64, grant: Option<&Grant>) {
        for update in self.holder.answer(&entry(0), sequence, grant) {
            let at = (0..ENDPOINTS).find(|at| endpoint(*at) == update.endpoint);
            let at = at.unwrap();
            self.slots[at] = update.slots.unwrap_or(self.slots[at]);
            self.until[at] = update.until;
        }
    }
}

/// What changes during a run: an entry's demand, a pause of an entry or of the arbiter.
#[derive(Clone, Copy, Debug)]
enum Event {
    Demand(usize, u32),
    Pause(usize, u64),
    NewArbiter,
}

fn events() -> impl Strategy<Value = Vec<(u8, Event)>> {
    let event =
        (0_u8..8, 0_usize..3, 0_u32..12, 0_u64..4_000).prop_map(|(kind, at, n, span)| match kind {
            0 => Event::NewArbiter,
            1 => Event::Pause(at, span),
            _ => Event::Demand(at, n),
        });
    prop::collection::vec((any::<u8>(), event), 1..40)
}

proptest! {
    #[test]
    fn arbiter_and_holders_never_pass_the_slots(events in events(), seed in any::<u64>()) {
        let mut world = World::new(3);
        let mut state = seed | 1;
        let mut draw = move || {
            state ^= state << 13;
            state ^= state >> 7;
            state ^= state << 17;
            state
        };
        for (steps, event) in events {
            match event {
                Event::Demand(at, demand) => world.nodes[at].demand = demand,
                Event::Pause(at, span) => world.nodes[at].paused = world.now + Millis(span),
                Event::NewArbiter => {
                    let fresh = World::new(3).arbiter;
                    world.arbiter = fresh;
                    let charges = (0..ENDPOINTS).map(|at| Charge {
                        endpoint: endpoint(at),
                        slots: SLOTS,
                        cover: RUN,
                    });
                    world.arbiter.set(Vec::new(), world.now);
                    world.arbiter.set(charges.collect(), world.now);
                }
            }
            for _ in 0..=steps {
                world.step(|| {
                    let drawn = draw();
                    (!drawn.is_multiple_of(16)).then_some((drawn >> 8) % 60)
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
fn arbiter_gives_a_dead_entrys_slots_back_after_lease_and_cover() {
    let mut world = World::new(2);
    world.nodes[0].demand = SLOTS;
    (0..100).for_each(|_| world.step(|| Some(1)));
    expect_that!(world.nodes[0].held(0, world.now), eq(SLOTS));
    world.nodes[0].paused = Millis::MAX;
    world.nodes[1].demand = SLOTS;
    (0..50).for_each(|_| world.step(|| Some(1)));
    expect_that!(world.nodes[1].held(0, world.now), eq(0));
    (0..250).for_each(|_| world.step(|| Some(1)));
    expect_that!(world.nodes[1].held(0, world.now), eq(SLOTS));
}

/// Asks as entry `at` for slots of the first endpoint; returns what it may use.
fn ask(arbiter: &mut Arbiter, at: usize, [held, want]: [u32; 2], now: Millis) -> u32 {
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
        whole: true,
        wants: vec![want],
    };
    arbiter.demand(&demand, now).leases[0].slots
}

#[googletest::test]
fn arbiter_moves_the_slots_of_an_entry_that_is_back_after_its_lease_lapsed() {
    let mut arbiter = Arbiter::default();
    let charge = Charge {
        endpoint: endpoint(0),
        slots: SLOTS,
        cover: LONG,
    };
    arbiter.set(vec![charge], Millis(0));
    arbiter.set_entries(vec![entry(0), entry(1)]);
    ask(&mut arbiter, 0, [0, SLOTS], Millis(100));
    ask(&mut arbiter, 1, [0, 0], Millis(200));
    let held = ask(&mut arbiter, 0, [0, SLOTS], Millis(300));
    expect_that!(held, eq(SLOTS));
    (4..40).for_each(|tick| arbiter.tick(Millis(tick * 100)));
    // Entry 0 may have requests in flight, as far as anybody knows.
    let other = ask(&mut arbiter, 1, [0, SLOTS], Millis(4_000));
    expect_that!(other, eq(0));
    ask(&mut arbiter, 0, [0, 0], Millis(4_100));
    let other = ask(&mut arbiter, 1, [0, SLOTS], Millis(4_200));
    expect_that!(other, eq(SLOTS));
}
