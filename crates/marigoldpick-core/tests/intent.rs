//! Tests that each kind of mistake in an intent gives its code with the line or the field.

use googletest::prelude::*;
use marigoldpick_core::intent::Intent;
use marigoldpick_core::prelude::*;

fn code_of(text: &str) -> (Code, u32, String) {
    let error = Intent::parse("x.toml", text).expect_err("the intent has a mistake");
    (error.code, error.line, error.field)
}

#[googletest::test]
fn parse_unknown_field_names_line() {
    let (code, line, field) = code_of("[[team]]\nname = \"a\"\ncolour = 1\n");
    expect_that!(code, eq(Code::UnknownField));
    expect_that!(line, eq(3));
    expect_that!(field, eq("colour"));
}

#[googletest::test]
fn parse_broken_toml_names_line() {
    let (code, line, _) = code_of("[[team]]\nname = \n");
    expect_that!(code, eq(Code::BadSyntax));
    expect_that!(line, eq(2));
}

#[googletest::test]
fn parse_zero_count_names_field() {
    let text = "[[job]]\nname = \"a\"\nclass = \"batch\"\nteam = \"t\"\ncount = 0\n\
                needs = { millicores = 1, memory_mib = 1 }\n";
    expect_that!(
        code_of(text),
        eq(&(Code::BadValue, 0, "job[0].count".to_owned()))
    );
}

#[googletest::test]
fn parse_negative_size_is_refused() {
    let text = "[[job]]\nname = \"a\"\nclass = \"batch\"\nteam = \"t\"\n\
                needs = { millicores = -1, memory_mib = 1 }\n";
    expect_that!(code_of(text).0, eq(Code::BadValue));
    expect_that!(code_of(text).1, eq(5));
}

#[googletest::test]
fn parse_two_teams_of_one_name_is_refused() {
    let team = "[[team]]\nname = \"a\"\nquota = { millicores = 1, memory_mib = 1 }\n";
    expect_that!(code_of(&format!("{team}{team}")).0, eq(Code::Duplicate));
}

#[googletest::test]
fn parse_name_with_blank_is_refused() {
    let text = "[[team]]\nname = \"a b\"\nquota = { millicores = 1, memory_mib = 1 }\n";
    expect_that!(code_of(text).1, eq(2));
}

#[googletest::test]
fn codes_ascend_and_survive_a_round_trip() {
    expect_that!(Code::ALL.is_sorted_by_key(|code| code.number()), eq(true));
    for code in Code::ALL {
        expect_that!(Code::from_number(code.number()), some(eq(*code)));
    }
}
