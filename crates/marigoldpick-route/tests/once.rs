//! Tests of the owners' records of request ids, of the decisions drawn from them, and of rendezvous
//! hashing.

use googletest::prelude::*;
use marigoldpick_core::peer::{Once, Outcome, Record, State, Step};
use marigoldpick_core::prelude::*;
use marigoldpick_route::once::{RETENTION, Register};
use marigoldpick_route::quorum::{RESEND_WINDOW, Reply, Verdict, judge};
use marigoldpick_route::rank;
use proptest::prelude::prop;
use proptest::proptest;

fn once(token: u64, attempt: u32, step: Step) -> Once {
    Once {
        request: id::Request::new("r").unwrap(),
        attempt,
        entry: id::Entry::new("e").unwrap(),
        token,
        step,
    }
}

fn register(within: u64) -> Step {
    Step::Register {
        within: Millis(within),
    }
}

fn done() -> Outcome {
    Outcome::Done {
        status: 200,
        body: Some(b"whole".to_vec()),
    }
}

#[googletest::test]
fn register_gives_an_id_to_the_first_token() {
    let mut owner = Register::new(Millis(0));
    let mut ask = |token, attempt, step| owner.handle(once(token, attempt, step), Millis(1)).state;
    expect_that!(ask(1, 1, register(100)), eq(&State::Yours));
    expect_that!(ask(1, 1, register(100)), eq(&State::Yours));
    expect_that!(ask(2, 1, register(100)), eq(&State::Taken));
    expect_that!(ask(3, 2, Step::Close), eq(&State::Taken));
    expect_that!(ask(2, 1, Step::Settle(Outcome::NotRun)), eq(&State::Taken));
    expect_that!(ask(1, 1, Step::Settle(done())), eq(&State::Yours));
    expect_that!(ask(2, 2, register(100)), eq(&State::Ended(done())));
}

#[googletest::test]
fn register_frees_an_id_only_when_nothing_ran() {
    let mut owner = Register::new(Millis(0));
    let mut ask = |token, attempt, step| owner.handle(once(token, attempt, step), Millis(1)).state;
    ask(1, 1, register(100));
    ask(1, 1, Step::Settle(Outcome::NotRun));
    expect_that!(ask(2, 2, register(100)), eq(&State::Yours));
    let unknown = Outcome::Unknown(Code::UnknownTimeout);
    ask(2, 2, Step::Settle(unknown.clone()));
    expect_that!(ask(3, 3, register(100)), eq(&State::Ended(unknown)));
}

#[googletest::test]
fn register_counts_a_run_without_an_end_as_unknown_after_its_deadline() {
    let mut owner = Register::new(Millis(0));
    owner.handle(once(1, 1, register(100)), Millis(0));
    let record = owner.handle(once(2, 2, register(100)), Millis(10_000));
    let unknown = Outcome::Unknown(Code::UnknownEarlierAttempt);
    expect_that!(record.state, eq(&State::Ended(unknown)));
}

#[googletest::test]
fn close_blocks_earlier_attempts_and_allows_later_ones() {
    let mut owner = Register::new(Millis(0));
    let mut ask = |token, attempt, step| owner.handle(once(token, attempt, step), Millis(1)).state;
    expect_that!(ask(2, 2, Step::Close), eq(&State::Never));
    expect_that!(ask(1, 1, register(100)), eq(&State::Taken));
    expect_that!(ask(9, 2, register(100)), eq(&State::Taken));
    expect_that!(ask(3, 3, register(100)), eq(&State::Yours));
}

#[googletest::test]
fn register_removes_ids_after_the_retention_and_not_before() {
    let mut owner = Register::new(Millis(0));
    owner.handle(once(1, 1, register(100)), Millis(0));
    owner.handle(once(1, 1, Step::Settle(done())), Millis(500));
    let before = owner.handle(once(2, 2, Step::Close), RETENTION).state;
    expect_that!(before, eq(&State::Ended(done())));
    let after = RETENTION + Millis(501);
    let record = owner.handle(once(2, 2, Step::Close), after);
    expect_that!(record.state, eq(&State::Never));
    expect_that!(record.age, eq(after));
}

fn free(age: Millis) -> Reply {
    Reply::Record(Record {
        state: State::Yours,
        age,
    })
}

#[googletest::test]
fn judge_first_attempt() {
    let old = || free(RESEND_WINDOW);
    let young = || free(Millis(1_000));
    let first = |replies: &[Reply]| judge(replies, true, RESEND_WINDOW);
    expect_that!(first(&[old()]), eq(&Verdict::Clear));
    expect_that!(first(&[old(), old(), Reply::Silent]), eq(&Verdict::Clear));
    expect_that!(first(&[old(), Reply::Silent]), eq(&Verdict::Unsure));
    expect_that!(first(&[old(), Reply::Dead]), eq(&Verdict::Clear));
    expect_that!(first(&[old(), young()]), eq(&Verdict::Clear));
    expect_that!(first(&[Reply::Dead, Reply::Dead]), eq(&Verdict::Unsure));
    let wait = Verdict::Wait(RESEND_WINDOW - Millis(1_000));
    expect_that!(first(&[young(), young()]), eq(&wait));
}

#[googletest::test]
fn judge_later_attempt_needs_a_majority_that_remembers() {
    let old = || free(RETENTION);
    let later = |replies: &[Reply]| judge(replies, false, RETENTION);
    expect_that!(later(&[old(), old(), Reply::Dead]), eq(&Verdict::Clear));
    expect_that!(later(&[old(), Reply::Dead]), eq(&Verdict::Unsure));
    expect_that!(
        later(&[old(), free(RESEND_WINDOW), free(RESEND_WINDOW)]),
        eq(&Verdict::Unsure)
    );
    let taken = Reply::Record(Record {
        state: State::Taken,
        age: Millis(1),
    });
    expect_that!(later(&[old(), old(), taken]), eq(&Verdict::Taken));
}

fn names(count: usize) -> Vec<id::Entry> {
    let name = |at| id::Entry::new(&format!("entry-{at}")).unwrap();
    (0..count).map(name).collect()
}

proptest! {
    /// Attempts interleave at three owners, one of which may lose its records: at most one may run.
    #[test]
    fn judge_clears_at_most_one_of_racing_attempts(
        order in prop::collection::vec((0_usize..3, 0_usize..3), 0..40),
        lost in 0_usize..4,
        restarted in 0_usize..4,
        at in 0_usize..40,
    ) {
        let now = RETENTION + Millis(1);
        let mut owners = vec![Register::new(Millis(0)); 3];
        let mut replies = vec![vec![Reply::Dead; 3]; 3];
        let rest = (0..3).flat_map(|attempt| (0..3).map(move |owner| (attempt, owner)));
        for (nth, (attempt, owner)) in order.into_iter().chain(rest).enumerate() {
            if nth == at && restarted < 3 {
                owners[restarted] = Register::new(now);
            }
            if owner == lost || replies[attempt][owner] != Reply::Dead {
                continue;
            }
            let once = once(attempt as u64, attempt as u32 + 1, register(1_000));
            replies[attempt][owner] = Reply::Record(owners[owner].handle(once, now));
        }
        let clear = |replies: &Vec<Reply>| judge(replies, false, RETENTION) == Verdict::Clear;
        assert!(replies.iter().filter(|replies| clear(replies)).count() <= 1);
    }

    #[test]
    fn rank_is_even_and_moves_only_the_keys_of_a_lost_member(seed in 0_u32..1_000) {
        let all = names(9);
        let fewer = all[1..].to_vec();
        let mut counts = [0_usize; 9];
        for key in 0..900 {
            let key = format!("key-{seed}-{key}");
            let first = rank::first(&key, all.iter()).unwrap();
            counts[all.iter().position(|e| e == first).unwrap()] += 1;
            if *first != all[0] {
                assert_eq!(rank::first(&key, fewer.iter()).unwrap(), first);
            }
            assert_eq!(&rank::top(&key, all.clone(), 3)[0], first);
        }
        assert!(counts.iter().all(|count| (50..=150).contains(count)), "{counts:?}");
    }
}
