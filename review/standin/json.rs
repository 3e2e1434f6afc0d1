//! A small JSON reader and writer.

use std::fmt::Write as _;

/// `Json` is a JSON value.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Map(Vec<(String, Json)>),
}

impl Json {
    pub fn get(&self, name: &str) -> Option<&Self> {
        match self {
            Self::Map(fields) => fields.iter().find(|(key, _)| key == name).map(|(_, v)| v),
            _ => None,
        }
    }

    pub fn text(&self, name: &str) -> &str {
        match self.get(name) {
            Some(Self::Text(text)) => text,
            _ => "",
        }
    }

    pub fn number(&self, name: &str) -> u64 {
        match self.get(name) {
            Some(Self::Number(number)) => *number as u64,
            _ => 0,
        }
    }

    pub fn list(&self, name: &str) -> &[Self] {
        match self.get(name) {
            Some(Self::List(list)) => list,
            _ => &[],
        }
    }

    pub fn write(&self, out: &mut String) {
        match self {
            Self::Null => out.push_str("null"),
            Self::Bool(value) => _ = write!(out, "{value}"),
            Self::Number(number) => _ = write!(out, "{number}"),
            Self::Text(text) => write_text(text, out),
            Self::List(list) => {
                out.push('[');
                for (at, item) in list.iter().enumerate() {
                    if at > 0 {
                        out.push(',');
                    }
                    item.write(out);
                }
                out.push(']');
            }
            Self::Map(fields) => {
                out.push('{');
                for (at, (key, value)) in fields.iter().enumerate() {
                    if at > 0 {
                        out.push(',');
                    }
                    write_text(key, out);
                    out.push(':');
                    value.write(out);
                }
                out.push('}');
            }
        }
    }

    pub fn parse(text: &str) -> Option<Self> {
        let bytes = text.as_bytes();
        let mut at = 0;
        parse_value(bytes, &mut at)
    }
}

impl std::fmt::Display for Json {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let mut out = String::new();
        self.write(&mut out);
        f.write_str(&out)
    }
}

/// Builds an object.
pub fn map(fields: Vec<(&str, Json)>) -> Json {
    Json::Map(
        fields
            .into_iter()
            .map(|(key, value)| (key.to_owned(), value))
            .collect(),
    )
}

pub fn text(text: impl Into<String>) -> Json {
    Json::Text(text.into())
}

pub fn number(number: u64) -> Json {
    Json::Number(number as f64)
}

fn write_text(text: &str, out: &mut String) {
    out.push('"');
    for c in text.chars() {
        match c {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            c if (c as u32) < 0x20 => _ = write!(out, "\\u{:04x}", c as u32),
            c => out.push(c),
        }
    }
    out.push('"');
}

fn skip_space(bytes: &[u8], at: &mut usize) {
    while bytes.get(*at).is_some_and(u8::is_ascii_whitespace) {
        *at += 1;
    }
}

fn parse_value(bytes: &[u8], at: &mut usize) -> Option<Json> {
    skip_space(bytes, at);
    match bytes.get(*at)? {
        b'{' => {
            *at += 1;
            let mut fields = Vec::new();
            loop {
                skip_space(bytes, at);
                match bytes.get(*at)? {
                    b'}' => break,
                    b',' => *at += 1,
                    _ => {
                        let key = parse_text(bytes, at)?;
                        skip_space(bytes, at);
                        (bytes.get(*at)? == &b':').then_some(())?;
                        *at += 1;
                        fields.push((key, parse_value(bytes, at)?));
                    }
                }
            }
            *at += 1;
            Some(Json::Map(fields))
        }
        b'[' => {
            *at += 1;
            let mut list = Vec::new();
            loop {
                skip_space(bytes, at);
                match bytes.get(*at)? {
                    b']' => break,
                    b',' => *at += 1,
                    _ => list.push(parse_value(bytes, at)?),
                }
            }
            *at += 1;
            Some(Json::List(list))
        }
        b'"' => parse_text(bytes, at).map(Json::Text),
        b't' => {
            *at += 4;
            Some(Json::Bool(true))
        }
        b'f' => {
            *at += 5;
            Some(Json::Bool(false))
        }
        b'n' => {
            *at += 4;
            Some(Json::Null)
        }
        _ => {
            let begin = *at;
            while bytes
                .get(*at)
                .is_some_and(|b| b"+-.eE0123456789".contains(b))
            {
                *at += 1;
            }
            let number = std::str::from_utf8(&bytes[begin..*at]).ok()?;
            number.parse().ok().map(Json::Number)
        }
    }
}

fn parse_text(bytes: &[u8], at: &mut usize) -> Option<String> {
    (bytes.get(*at)? == &b'"').then_some(())?;
    *at += 1;
    let mut out = Vec::new();
    loop {
        match bytes.get(*at)? {
            b'"' => break,
            b'\\' => {
                *at += 1;
                match bytes.get(*at)? {
                    b'n' => out.push(b'\n'),
                    b't' => out.push(b'\t'),
                    b'r' => out.push(b'\r'),
                    b'u' => {
                        let digits = std::str::from_utf8(bytes.get(*at + 1..*at + 5)?).ok()?;
                        let code = char::from_u32(u32::from_str_radix(digits, 16).ok()?)?;
                        out.extend_from_slice(code.to_string().as_bytes());
                        *at += 4;
                    }
                    other => out.push(*other),
                }
            }
            byte => out.push(*byte),
        }
        *at += 1;
    }
    *at += 1;
    String::from_utf8(out).ok()
}
