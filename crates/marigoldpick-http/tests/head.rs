//! Tests of heads and of chunked bodies, without a network.

use googletest::prelude::*;
use marigoldpick_http::Failure;
use marigoldpick_http::chunk::{Decoder, Malformed};
use marigoldpick_http::head::{self, Length, find_end, skip_empty_lines};

fn parse(lines: &str) -> std::result::Result<head::Head, Failure> {
    head::parse(format!("{lines}\r\n\r\n").as_bytes())
}

/// Decodes `input` in pieces of `size` into pieces of three bytes.
fn decode(input: &str, size: usize) -> std::result::Result<(String, bool), Malformed> {
    let mut decoder = Decoder::default();
    let mut text = Vec::new();
    for mut piece in input.as_bytes().chunks(size) {
        while !piece.is_empty() && !decoder.is_done() {
            let mut out = [0; 3];
            let (read, written) = decoder.decode(piece, &mut out)?;
            text.extend(&out[..written]);
            piece = &piece[read..];
        }
    }
    let text = String::from_utf8(text).expect("a text");
    Ok((text, decoder.is_done()))
}

#[googletest::test]
fn find_end_head_in_pieces_is_found_once_it_is_whole() {
    let head = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n";
    for scanned in 0..head.len() {
        expect_that!(find_end(&head[..scanned], 0), none());
        expect_that!(find_end(head, scanned), some(eq(head.len())), "{scanned}");
    }
    expect_that!(find_end(b"GET / HTTP/1.1\n\nrest", 0), some(eq(16)));
    expect_that!(skip_empty_lines(b"\r\n\r\nGET"), eq((4, 2)));
}

#[googletest::test]
fn parse_head_gives_length_and_keep_alive() {
    let head = parse("POST /a/b HTTP/1.1\r\nHost: h:1\r\nContent-Length: 5").expect("a head");
    expect_that!(head.request.url().path(), eq("/a/b"));
    expect_that!(
        (head.length, head.keeps_alive),
        eq((Length::Bytes(5), true))
    );
    let lines = "GET / HTTP/1.1\r\nHost: h\r\nConnection: x, Close\r\nTransfer-Encoding: Chunked";
    let head = parse(lines).expect("a head");
    expect_that!(
        (head.length, head.keeps_alive),
        eq((Length::Chunked, false))
    );
    let head = parse("GET / HTTP/1.0").expect("a head");
    expect_that!(
        (head.length, head.keeps_alive),
        eq((Length::Bytes(0), false))
    );
}

#[googletest::test]
fn parse_ambiguous_or_odd_head_is_rejected() {
    let cases = [
        ("GET / HTTP/1.1", Failure::HeadMalformed),
        ("GET / HTTP/2.0\r\nHost: h", Failure::Version),
        (
            "GET / HTTP/1.1\r\nHost: h\r\nX: \u{e9}",
            Failure::HeadMalformed,
        ),
        ("GET a HTTP/1.1\r\nHost: h", Failure::HeadMalformed),
        (
            "GET / HTTP/1.1\r\nHost: h\r\nContent-Length: +1",
            Failure::HeadMalformed,
        ),
        (
            "GET / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 2",
            Failure::HeadMalformed,
        ),
        (
            "GET / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nTransfer-Encoding: chunked",
            Failure::HeadMalformed,
        ),
        (
            "GET / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip",
            Failure::Encoding,
        ),
    ];
    for (lines, failure) in cases {
        expect_that!(parse(lines).err(), some(eq(failure)), "{lines}");
    }
    let many = "GET / HTTP/1.1\r\nHost: h".to_owned() + &"\r\na: b".repeat(head::MAX_LINES);
    expect_that!(parse(&many).err(), some(eq(Failure::HeadTooLarge)));
}

#[googletest::test]
fn decode_chunks_in_pieces_of_any_size() {
    let input = "4;a=b\r\nwiki\r\n0A\r\n0123456789\r\n0\r\nTrailer: x\r\n\r\n";
    for size in 1..=input.len() {
        let decoded = decode(input, size);
        expect_that!(
            decoded,
            ok(eq(&("wiki0123456789".to_owned(), true))),
            "{size}"
        );
    }
    expect_that!(decode("3\r\nab", 9), ok(eq(&("ab".to_owned(), false))));
}

#[googletest::test]
fn decode_malformed_or_unbounded_framing_is_rejected() {
    let extension = format!("1;{}", "x".repeat(300));
    let trailers = format!("0\r\n{}", "a: b\r\n".repeat(1_000));
    let odd = [
        "\r\n",
        "g\r\n",
        "-1\r\n",
        "fffffffffffffffff\r\n",
        "1\r\nab\r\n",
    ];
    for input in odd
        .into_iter()
        .chain([extension.as_str(), trailers.as_str()])
    {
        expect_that!(decode(input, 64), err(eq(&Malformed)), "{input:.20}");
    }
}
