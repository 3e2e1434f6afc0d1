//! Tests of the distribution of questions over entries, under their load patterns.

use googletest::prelude::*;
use marigoldpick_core::prelude::*;
use marigoldpick_job::askers::{Askers, Member};
use marigoldpick_job::rank::Precedence;

fn member(number: usize, domain: &str) -> Member {
    Member {
        entry: id::Entry::new(&format!("e{number}")).expect("a name"),
        domain: id::Domain::new(domain).expect("a name"),
    }
}

fn askers(count: usize) -> Askers {
    let members: Vec<Member> = (0..count).map(|number| member(number, "d")).collect();
    let mut askers = Askers::default();
    askers.set(&members);
    askers
}

/// Load pattern: a burst of short urgent questions, 75 a second of 35 ms each, while long ones of
/// 600 ms are always waiting. Urgent work that waits for over 250 ms is late.
#[googletest::test]
fn assign_keeps_short_questions_from_waiting_behind_long_ones() {
    let mut askers = askers(9);
    let (short, long) = (Millis(35), Millis(600));
    let mut ends: Vec<(Millis, id::Entry)> = Vec::new();
    let mut busy: Vec<(id::Entry, Millis)> = Vec::new();
    let mut longest = Millis::ZERO;
    let mut refused = 0;
    for now in (0..4_000).map(Millis) {
        ends.sort();
        while ends.first().is_some_and(|(end, _)| *end <= now) {
            let (_, entry) = ends.remove(0);
            askers.complete(&entry, true, now);
        }
        let mut ask = |askers: &mut Askers, span| {
            let entry = askers.assign(span, Precedence::Normal, now)?;
            let at = busy.iter().position(|(have, _)| *have == entry);
            let at = at.unwrap_or_else(|| {
                busy.push((entry.clone(), Millis::ZERO));
                busy.len() - 1
            });
            let start = busy[at].1.max(now);
            busy[at].1 = start + span;
            ends.push((start + span, entry));
            Some(start.since(now))
        };
        while ask(&mut askers, long).is_some() {}
        if now.0 * 75 / 1_000 != (now.0 + 1) * 75 / 1_000 {
            match ask(&mut askers, short) {
                Some(wait) => longest = longest.max(wait),
                None => refused += 1,
            }
        }
    }
    expect_that!(refused, eq(0));
    expect_that!(longest, le(Millis(250)));
}

#[googletest::test]
fn assign_excludes_an_entry_that_does_not_answer() {
    let mut askers = askers(2);
    let entry = askers
        .assign(Millis(30), Precedence::Normal, Millis(0))
        .expect("an entry");
    askers.complete(&entry, false, Millis(30));
    for _ in 0..3 {
        let other = askers
            .assign(Millis(30), Precedence::Normal, Millis(40))
            .expect("an entry");
        expect_that!(other, not(eq(&entry)));
        askers.complete(&other, true, Millis(70));
    }
    expect_true!((0..2).any(
        |_| askers.assign(Millis(30), Precedence::Normal, Millis(2_000)) == Some(entry.clone())
    ));
}

/// Load pattern: one of three failure domains is cut off for six seconds, while 50 short questions a
/// second are asked. A question to the cut domain fails after half a second, so that its step is late.
#[googletest::test]
fn assign_tries_a_domain_that_does_not_answer_with_few_questions() {
    let mut askers = Askers::default();
    let domain = |number: usize| ["a", "b", "c"][number / 3];
    let members: Vec<Member> = (0..9)
        .map(|number| member(number, domain(number)))
        .collect();
    askers.set(&members);
    let is_cut = |entry: &id::Entry, now: Millis| {
        let member = members.iter().find(|member| member.entry == *entry);
        member.is_some_and(|member| member.domain.as_str() == "a") && now < Millis(6_000)
    };
    let mut ends: Vec<(Millis, id::Entry, bool)> = Vec::new();
    let (mut lost, mut unassigned, mut last_of_cut) = (0, 0, Millis::ZERO);
    for now in (0..9_000).step_by(20).map(Millis) {
        ends.sort();
        while ends.first().is_some_and(|(end, ..)| *end <= now) {
            let (_, entry, answered) = ends.remove(0);
            askers.complete(&entry, answered, now);
        }
        let Some(entry) = askers.assign(Millis(30), Precedence::Normal, now) else {
            unassigned += 1;
            continue;
        };
        let cut = is_cut(&entry, now);
        lost += u32::from(cut);
        if entry < member(3, "b").entry {
            last_of_cut = now;
        }
        let span = if cut { Millis(500) } else { Millis(40) };
        ends.push((now + span, entry, !cut));
    }
    // All entries of the domain may be asked once before the first failure is known.
    expect_that!(lost, le(3 + 3));
    expect_that!(unassigned, eq(0));
    expect_that!(last_of_cut, gt(Millis(8_500)));
}
