//! Reads JSON, as far as the stand-in of the store needs it.

use std::collections::BTreeMap;

/// A JSON value; numbers, booleans and null are read over.
#[derive(Debug)]
pub enum Value {
    Text(String),
    Other,
    List(Vec<Value>),
    Object(BTreeMap<String, Value>),
}

impl Value {
    /// Parses a whole text.
    pub fn parse(text: &str) -> Option<Self> {
        let chars: Vec<char> = text.chars().collect();
        let mut reader = Reader { chars, at: 0 };
        reader.value()
    }

    /// Returns a field of an object.
    pub fn field(&self, name: &str) -> Option<&Self> {
        match self {
            Self::Object(fields) => fields.get(name),
            _ => None,
        }
    }

    /// Returns a field that is text.
    pub fn text(&self, name: &str) -> Option<&str> {
        match self.field(name)? {
            Self::Text(text) => Some(text),
            _ => None,
        }
    }

    /// Returns the entries of a field that is a list.
    pub fn list(&self, name: &str) -> &[Self] {
        match self.field(name) {
            Some(Self::List(list)) => list,
            _ => &[],
        }
    }
}

struct Reader {
    chars: Vec<char>,
    at: usize,
}

impl Reader {
    fn peek(&mut self) -> Option<char> {
        while self.chars.get(self.at).is_some_and(|c| c.is_whitespace()) {
            self.at += 1;
        }
        self.chars.get(self.at).copied()
    }

    fn take(&mut self, wanted: char) -> Option<()> {
        (self.peek()? == wanted).then(|| self.at += 1)
    }

    fn value(&mut self) -> Option<Value> {
        match self.peek()? {
            '"' => self.string().map(Value::Text),
            '[' => self.list(),
            '{' => self.object(),
            _ => {
                let start = self.at;
                let ends = |c: &char| !matches!(c, ',' | ']' | '}') && !c.is_whitespace();
                self.at += self.chars[start..].iter().take_while(|c| ends(c)).count();
                Some(Value::Other)
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        self.take('"')?;
        let mut text = String::new();
        loop {
            let c = *self.chars.get(self.at)?;
            self.at += 1;
            match c {
                '"' => return Some(text),
                '\\' => {
                    text.push(*self.chars.get(self.at)?);
                    self.at += 1;
                }
                c => text.push(c),
            }
        }
    }

    fn list(&mut self) -> Option<Value> {
        self.take('[')?;
        let mut list = Vec::new();
        while self.peek()? != ']' {
            list.push(self.value()?);
            if self.peek()? == ',' {
                self.at += 1;
            }
        }
        self.take(']')?;
        Some(Value::List(list))
    }

    fn object(&mut self) -> Option<Value> {
        self.take('{')?;
        let mut fields = BTreeMap::new();
        while self.peek()? != '}' {
            self.peek()?;
            let name = self.string()?;
            self.take(':')?;
            fields.insert(name, self.value()?);
            if self.peek()? == ',' {
                self.at += 1;
            }
        }
        self.take('}')?;
        Some(Value::Object(fields))
    }
}
