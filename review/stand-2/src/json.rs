//! Reading of the JSON that routers write to the table.

/// A JSON value.
#[derive(Clone, Debug)]
pub enum Json {
    /// A string.
    Text(String),
    /// A number or a literal.
    Other,
    /// An array.
    List(Vec<Json>),
    /// An object.
    Map(Vec<(String, Json)>),
}

impl Json {
    /// Parses a value; `None` if it is malformed.
    pub fn parse(text: &str) -> Option<Self> {
        value(&mut text.as_bytes())
    }

    /// Returns a member of an object.
    pub fn get(&self, name: &str) -> Option<&Self> {
        let Self::Map(members) = self else {
            return None;
        };
        let (_, value) = members.iter().find(|(known, _)| known == name)?;
        Some(value)
    }

    /// Returns the text of a string.
    pub fn text(&self) -> Option<&str> {
        match self {
            Self::Text(text) => Some(text),
            _ => None,
        }
    }

    /// Returns the values of an array.
    pub fn list(&self) -> &[Self] {
        match self {
            Self::List(values) => values,
            _ => &[],
        }
    }
}

fn skip(input: &mut &[u8]) -> Option<u8> {
    while input.first()?.is_ascii_whitespace() || matches!(input.first()?, b',' | b':') {
        *input = &input[1..];
    }
    input.first().copied()
}

fn value(input: &mut &[u8]) -> Option<Json> {
    match skip(input)? {
        b'"' => text(input).map(Json::Text),
        b'[' => {
            *input = &input[1..];
            let mut values = Vec::new();
            while skip(input)? != b']' {
                values.push(value(input)?);
            }
            *input = &input[1..];
            Some(Json::List(values))
        }
        b'{' => {
            *input = &input[1..];
            let mut members = Vec::new();
            while skip(input)? != b'}' {
                let name = text(input)?;
                members.push((name, value(input)?));
            }
            *input = &input[1..];
            Some(Json::Map(members))
        }
        _ => {
            let end = input.iter().position(|byte| b",]}".contains(byte));
            *input = &input[end.unwrap_or(input.len())..];
            Some(Json::Other)
        }
    }
}

fn text(input: &mut &[u8]) -> Option<String> {
    let mut text = Vec::new();
    let mut bytes = input.get(1..)?.iter().enumerate();
    loop {
        match bytes.next()? {
            (end, b'"') => {
                *input = &input[end + 2..];
                return String::from_utf8(text).ok();
            }
            (_, b'\\') => text.push(*bytes.next()?.1),
            (_, byte) => text.push(*byte),
        }
    }
}
