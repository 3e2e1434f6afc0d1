//! Tests of the form in which a worker's answers are sent.

use googletest::prelude::*;
use marigoldpick_core::prelude::*;
use marigoldpick_core::worker::{Answer, Call, Epoch, Refusal, Report};

const EPOCH: Epoch = Epoch {
    tenure: 3,
    interim: 1,
    lead: 17,
};

fn answer(epoch: Epoch, refused: Option<Refusal>) -> Answer {
    Answer {
        refused,
        report: Report {
            epoch,
            stamp: Millis(5),
            lease_end: Millis(8_005),
            whole: false,
            running: Vec::new(),
            finished: Vec::new(),
        },
    }
}

fn sent(answer: &Answer, call: Option<Epoch>) -> Answer {
    let text = serde_json::to_string(&answer.clone().omit_epoch(call)).expect("it is JSON");
    let read: Answer = serde_json::from_str(&text).expect("it is an answer");
    read.restore_epoch(call)
}

#[googletest::test]
fn answer_survives_a_round_trip() {
    let other = Epoch { tenure: 4, ..EPOCH };
    for have in [EPOCH, other, Epoch::default()] {
        for refused in [Some(Refusal::Fenced), Some(Refusal::Lapsed)] {
            let answer = answer(have, refused);
            expect_that!(sent(&answer, Some(EPOCH)), eq(&answer));
        }
        let listed = answer(have, None);
        expect_that!(sent(&listed, Call::List.epoch()), eq(&listed));
    }
    let renewed = answer(EPOCH, None);
    expect_that!(sent(&renewed, Some(EPOCH)), eq(&renewed));
}

#[googletest::test]
fn answer_to_a_renewal_has_only_the_changes() {
    let short = answer(EPOCH, None).omit_epoch(Some(EPOCH));
    let text = serde_json::to_string(&short).expect("it is JSON");
    expect_that!(text, eq("{\"report\":{\"stamp\":5,\"lease_end\":8005}}"));
}
