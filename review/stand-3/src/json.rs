//! The JSON that the store's calls need, and base64.

/// A JSON value; numbers and names are kept as text.
#[derive(Clone, Debug)]
pub enum Value {
    /// A text, a number, `true`, `false` or `null`.
    Text(String),
    /// A list.
    List(Vec<Value>),
    /// An object.
    Object(Vec<(String, Value)>),
}

impl Value {
    /// Returns the field of an object.
    pub fn field(&self, name: &str) -> Option<&Value> {
        let Self::Object(fields) = self else {
            return None;
        };
        let found = fields.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value)
    }

    /// Returns the items of a list.
    pub fn items(&self) -> &[Value] {
        match self {
            Self::List(items) => items,
            _ => &[],
        }
    }

    /// Returns a text.
    pub fn text(&self) -> &str {
        match self {
            Self::Text(text) => text,
            _ => "",
        }
    }
}

/// Parses a value; `None` if it is malformed.
pub fn parse(text: &str) -> Option<Value> {
    let mut rest = text.chars().peekable();
    value(&mut rest)
}

type Input<'a> = std::iter::Peekable<std::str::Chars<'a>>;

fn skip(input: &mut Input) {
    while input
        .next_if(|it| it.is_whitespace() || matches!(it, ',' | ':'))
        .is_some()
    {}
}

fn value(input: &mut Input) -> Option<Value> {
    skip(input);
    match input.peek()? {
        '{' => {
            input.next();
            let mut fields = Vec::new();
            loop {
                skip(input);
                if input.next_if_eq(&'}').is_some() {
                    return Some(Value::Object(fields));
                }
                let name = value(input)?.text().to_owned();
                fields.push((name, value(input)?));
            }
        }
        '[' => {
            input.next();
            let mut items = Vec::new();
            loop {
                skip(input);
                if input.next_if_eq(&']').is_some() {
                    return Some(Value::List(items));
                }
                items.push(value(input)?);
            }
        }
        '"' => {
            input.next();
            quoted(input).map(Value::Text)
        }
        _ => {
            let mut text = String::new();
            while let Some(it) = input.next_if(|it| !",]} \n".contains(*it)) {
                text.push(it);
            }
            (!text.is_empty()).then_some(Value::Text(text))
        }
    }
}

fn quoted(input: &mut Input) -> Option<String> {
    let mut text = String::new();
    loop {
        match input.next()? {
            '"' => return Some(text),
            '\\' => match input.next()? {
                'n' => text.push('\n'),
                'u' => {
                    let digits: String = input.by_ref().take(4).collect();
                    text.push(char::from_u32(u32::from_str_radix(&digits, 16).ok()?)?);
                }
                other => text.push(other),
            },
            other => text.push(other),
        }
    }
}

/// Writes a text in quotes.
pub fn text(text: &str) -> String {
    let escaped: String = text
        .chars()
        .map(|it| match it {
            '"' | '\\' => format!("\\{it}"),
            it if it.is_control() => format!("\\u{:04x}", u32::from(it)),
            it => it.to_string(),
        })
        .collect();
    format!("\"{escaped}\"")
}

/// Encodes bytes in base64.
pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let bits = (0..3).fold(0, |bits, index| {
            bits << 8 | usize::from(group.get(index).copied().unwrap_or(0))
        });
        for index in 0..4 {
            let digit = DIGITS[bits >> (18 - 6 * index) & 63];
            text.push(match index <= group.len() {
                true => char::from(digit),
                false => '=',
            });
        }
    }
    text
}
