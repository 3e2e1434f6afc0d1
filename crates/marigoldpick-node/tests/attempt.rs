//! Tests of the writes of submissions, against one key of a store that delays writes and loses answers.

use googletest::prelude::*;
use marigoldpick_core::prelude::*;
use marigoldpick_core::store::{Answer, Expect, Fault, Item};
use marigoldpick_core::work::Job;
use marigoldpick_core::work::peer::Receipt;
use marigoldpick_node::attempt::{Attempt, Next};
use marigoldpick_node::submission::{is_marker, write_marker};

const AFTER: Millis = Millis(4_000);

fn job_id() -> id::Job {
    id::Job::new("00000000000000aa").expect("a name")
}

fn job(team: Option<&str>) -> Job {
    Job {
        queue: Name::new("q").expect("a name"),
        payload: String::new(),
        steps: Vec::new(),
        schedule: None,
        accepted: 1,
        team: team.map(|team| id::Team::new(team).expect("a name")),
    }
}

fn marker() -> String {
    write_marker(&id::Entry::new("e1").expect("a name"), 5, AFTER)
}

fn attempt(seen: u64, rejected: Option<Millis>) -> Attempt {
    Attempt::new(&job_id(), &job(None), seen, rejected)
}

/// `Key` is the job's key in the store.
#[derive(Debug, Default)]
struct Key {
    item: Option<Item>,
    revision: u64,
}

impl Key {
    fn write(&mut self, expect: Expect, value: String) -> Answer {
        let holds = match expect {
            Expect::Any => true,
            Expect::Absent => self.item.is_none(),
            Expect::Revision(revision) => self
                .item
                .as_ref()
                .is_some_and(|item| item.revision == revision),
        };
        if !holds {
            return Answer::Rivals(self.item.clone().into_iter().collect());
        }
        self.revision += 1;
        self.item = Some(Item {
            key: "k".to_owned(),
            value,
            revision: self.revision,
        });
        Answer::Written(self.revision)
    }

    fn has_job(&self) -> bool {
        self.item
            .as_ref()
            .is_some_and(|item| !is_marker(&item.value))
    }
}

fn value_of(attempt: &Attempt) -> String {
    match attempt.marker() {
        Some(_) => marker(),
        None => serde_json::to_string(&job(None)).expect("JSON"),
    }
}

/// Sends writes until the attempt is over.
fn run(key: &mut Key, mut attempt: Attempt) -> Receipt {
    loop {
        let answer = key.write(attempt.expect(), value_of(&attempt));
        if let Next::Done(receipt) = attempt.apply(Ok(answer)) {
            return receipt;
        }
    }
}

/// `Sent` is a submission at some entry.
struct Sent {
    attempt: Attempt,
    arrived: usize,
    /// Writes that the store has not carried out, which may be late ones without a waiting sender.
    in_flight: Vec<(Expect, String)>,
    /// The answer on its way to the sender.
    answer: Option<Answer>,
    receipt: Option<Receipt>,
}

/// Submissions of one job at several entries, with writes that are delayed or overtake each other and answers that are
/// lost. Guards against a rejected job that is stored by a submission which arrived before the rejection, and
/// against a stored job that is rejected.
#[googletest::test]
fn apply_keeps_rejections_final_in_any_order() {
    for seed in 0..20_000_u64 {
        let mut state = seed;
        let mut random = move |bound: usize| {
            state = state
                .wrapping_mul(6_364_136_223_846_793_005)
                .wrapping_add(seed | 1);
            (state >> 33) as usize % bound
        };
        let mut key = Key::default();
        // Only submissions that arrive after this step may store the job.
        let mut barrier = 0;
        let mut sent: Vec<Sent> = Vec::new();
        for step in 0..60 {
            if sent.len() < 4 && random(5) == 0 {
                let seen = if random(2) == 0 { key.revision } else { 0 };
                let attempt = attempt(seen, (random(2) == 0).then_some(AFTER));
                let in_flight = vec![(attempt.expect(), value_of(&attempt))];
                sent.push(Sent {
                    attempt,
                    arrived: step,
                    in_flight,
                    answer: None,
                    receipt: None,
                });
                continue;
            }
            if sent.is_empty() {
                continue;
            }
            let at = random(sent.len());
            let one = &mut sent[at];
            let answer = match random(4) {
                // The store carries out a write; only the newest one's sender still waits for it.
                0 | 1 if !one.in_flight.is_empty() => {
                    let number = random(one.in_flight.len());
                    let is_newest = number + 1 == one.in_flight.len() && one.answer.is_none();
                    let (expect, value) = one.in_flight.remove(number);
                    let is_job = !is_marker(&value);
                    let answer = key.write(expect, value);
                    match answer {
                        Answer::Written(_) if is_job => {
                            expect_that!(one.arrived, ge(barrier), "seed {seed}");
                        }
                        Answer::Written(_) => barrier = step,
                        _ => {}
                    }
                    if is_newest && one.receipt.is_none() {
                        one.answer = Some(answer);
                    }
                    continue;
                }
                2 if one.answer.is_some() => one.answer.take().map(Ok),
                // The sender no longer waits; a write that is in flight stays so.
                3 if one.receipt.is_none() && random(4) == 0 => {
                    one.answer = None;
                    Some(Err(Fault::Unknown))
                }
                _ => None,
            };
            let Some(answer) = answer else { continue };
            match one.attempt.apply(answer) {
                Next::Done(receipt) => {
                    one.receipt = Some(receipt);
                    if matches!(receipt, Receipt::Rejected { .. }) {
                        barrier = barrier.max(one.arrived);
                    }
                }
                _ if random(4) == 0 => one.receipt = Some(one.attempt.receipt()),
                _ => {
                    let write = (one.attempt.expect(), value_of(&one.attempt));
                    one.in_flight.push(write);
                }
            }
        }
        let was_stored = key.has_job();
        let rejected = (seed % 2 == 0).then_some(AFTER);
        let last = attempt(key.revision, rejected);
        let receipt = run(&mut key, last);
        let is_rejected = matches!(receipt, Receipt::Rejected { .. });
        expect_that!(
            is_rejected,
            eq(!was_stored && rejected.is_some()),
            "seed {seed}"
        );
    }
}

/// Guards against a marker that is replaced by a submission of before it, and one that no later submission replaces, also
/// if it ends with its lease meanwhile.
#[googletest::test]
fn apply_replaces_only_markers_of_before_the_submission() {
    let mut key = Key::default();
    let rejected = Receipt::Rejected { after: AFTER };
    expect_that!(run(&mut key, attempt(0, Some(AFTER))), eq(rejected));
    let seen = key.revision;
    expect_that!(
        run(&mut key, attempt(seen - 1, None)),
        pat!(Receipt::Rejected { .. })
    );
    let mut later = attempt(key.revision, None);
    let rivals = key.write(later.expect(), value_of(&later));
    expect_that!(later.apply(Ok(rivals)), eq(Next::Again));
    key.item = None;
    expect_that!(run(&mut key, later), eq(Receipt::Stored));
    expect_that!(run(&mut key, attempt(0, Some(AFTER))), eq(Receipt::Stored));
    let other = Attempt::new(&job_id(), &job(Some("t")), seen, Some(AFTER));
    expect_that!(run(&mut key, other), eq(Receipt::Taken));
}

/// The store loses the answer to a marker, or grants no lease: neither may be told as a rejection.
#[googletest::test]
fn apply_rejects_only_with_a_marker_that_is_written() {
    let mut rejected = attempt(0, Some(AFTER));
    expect_that!(rejected.apply(Err(Fault::Unknown)), eq(Next::Retry));
    expect_that!(rejected.receipt(), eq(Receipt::Unknown));
    expect_that!(rejected.apply(Ok(Answer::Gone)), eq(Next::Renew));
    expect_that!(rejected.give_up_marker(), eq(Next::Again));
    expect_that!(run(&mut Key::default(), rejected), eq(Receipt::Stored));
    let mut key = Key::default();
    run(&mut key, attempt(0, Some(AFTER)));
    let mut raced = attempt(0, None);
    let rivals = key.write(raced.expect(), value_of(&raced));
    expect_that!(raced.apply(Ok(rivals)), eq(Next::Again));
    expect_that!(raced.give_up_marker(), eq(Next::Done(Receipt::Unknown)));
}
