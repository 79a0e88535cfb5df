//! Reads typed values from JSON with comments and keeps, for every error, the
//! line and the key at which it arose.

use std::{collections::BTreeSet, fmt};

use jsonc_parser::{
    CollectOptions, ParseOptions,
    ast::{Object, ObjectProp, Value},
    common::Ranged,
    parse_to_ast,
};
use serde::{
    Deserialize,
    de::{self, DeserializeSeed, IntoDeserializer, Visitor},
    forward_to_deserialize_any,
};

/// A problem in a text, with its place.
#[derive(Debug)]
pub(crate) struct Problem {
    /// Line, counted from 1.
    pub line: usize,
    /// Path of keys, separated by dots; empty for the whole text.
    pub key: String,
    /// What is wrong.
    pub text: String,
    /// What is allowed, when the type states it.
    pub allowed: Option<String>,
}

/// A parsed text that can be read as a typed value and asked for lines.
pub(crate) struct Document<'a> {
    text: &'a str,
    root: Value<'a>,
}

/// Comments and trailing commas are allowed; the other extensions of the parser
/// are not, so that the files stay readable by other JSON tools.
const OPTIONS: ParseOptions = ParseOptions {
    allow_comments: true,
    allow_trailing_commas: true,
    allow_loose_object_property_names: false,
    allow_missing_commas: false,
    allow_single_quoted_strings: false,
    allow_hexadecimal_numbers: false,
    allow_unary_plus_numbers: false,
    allow_bare_decimal_point_numbers: false,
    allow_non_finite_numbers: false,
    allow_extended_string_escapes: false,
};

impl<'a> Document<'a> {
    /// Parses the text.
    pub fn parse(text: &'a str) -> Result<Self, Problem> {
        let parsed =
            parse_to_ast(text, &CollectOptions::default(), &OPTIONS).map_err(|error| Problem {
                line: error.line_display(),
                key: String::new(),
                text: format!(
                    "not valid JSON at column {}: {}",
                    error.column_display(),
                    error.kind()
                ),
                allowed: Some("JSON with comments and trailing commas".to_owned()),
            })?;
        let root = parsed.value.ok_or_else(|| Problem {
            line: 1,
            key: String::new(),
            text: "the file is empty".to_owned(),
            allowed: Some("JSON with comments and trailing commas".to_owned()),
        })?;
        let document = Self { text, root };
        match find_double(&document.root) {
            Some(error) => Err(document.problem(error)),
            None => Ok(document),
        }
    }

    /// Reads the whole text as a value of type `T`.
    pub fn read<T: for<'de> Deserialize<'de>>(&self) -> Result<T, Problem> {
        T::deserialize(Node(&self.root)).map_err(|error| self.problem(error))
    }

    fn problem(&self, error: Error) -> Problem {
        Problem {
            line: self.line_at(error.offset.unwrap_or(0)),
            key: error.key(),
            text: error.text,
            allowed: error.allowed,
        }
    }

    /// Returns the line of the key, or of its nearest enclosing key that is
    /// present in the text.
    pub fn line(&self, key: &str) -> usize {
        let mut value = &self.root;
        let mut offset = value.start();
        for part in key.split('.') {
            match step(value, part) {
                Some((at, next)) => (offset, value) = (at, next),
                None => break,
            }
        }
        self.line_at(offset)
    }

    fn line_at(&self, offset: usize) -> usize {
        let before = &self.text.as_bytes()[..offset.min(self.text.len())];
        1 + before.iter().filter(|byte| **byte == b'\n').count()
    }
}

/// Finds a key that an object has twice; the parser accepts it, and serde reports
/// it without its place.
fn find_double(value: &Value<'_>) -> Option<Error> {
    match value {
        Value::Object(object) => {
            let mut seen = BTreeSet::new();
            object.properties.iter().find_map(|property| {
                let name = property.name.as_str();
                if !seen.insert(name) {
                    let error = Error::new("the key is given twice");
                    return Some(error.at(property.start()).under(name));
                }
                find_double(&property.value).map(|error| error.under(name))
            })
        }
        Value::Array(array) => array
            .elements
            .iter()
            .enumerate()
            .find_map(|(index, element)| {
                find_double(element).map(|error| error.under(index.to_string()))
            }),
        _ => None,
    }
}

fn step<'v, 'a>(value: &'v Value<'a>, part: &str) -> Option<(usize, &'v Value<'a>)> {
    match value {
        Value::Object(object) => object
            .get(part)
            .map(|property| (property.start(), &property.value)),
        Value::Array(array) => {
            let element = array.elements.get(part.parse::<usize>().ok()?)?;
            Some((element.start(), element))
        }
        _ => None,
    }
}

/// An error on its way from a value out to the root; each level adds its key.
#[derive(Debug)]
struct Error {
    text: String,
    allowed: Option<String>,
    offset: Option<usize>,
    /// Keys from the innermost to the outermost.
    path: Vec<String>,
}

impl Error {
    fn new(text: impl Into<String>) -> Self {
        Self {
            text: text.into(),
            allowed: None,
            offset: None,
            path: Vec::new(),
        }
    }

    fn at(mut self, offset: usize) -> Self {
        self.offset.get_or_insert(offset);
        self
    }

    fn under(mut self, key: impl Into<String>) -> Self {
        self.path.push(key.into());
        self
    }

    fn key(&self) -> String {
        let parts: Vec<&str> = self.path.iter().rev().map(String::as_str).collect();
        parts.join(".")
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.text)
    }
}

impl std::error::Error for Error {}

impl de::Error for Error {
    fn custom<T: fmt::Display>(text: T) -> Self {
        Self::new(text.to_string())
    }

    fn invalid_type(found: de::Unexpected<'_>, expected: &dyn de::Expected) -> Self {
        Self::new(format!("found {found}, expected {}", kind(expected)))
    }

    fn invalid_value(found: de::Unexpected<'_>, expected: &dyn de::Expected) -> Self {
        Self::new(format!("found {found}, expected {}", kind(expected)))
    }

    fn missing_field(field: &'static str) -> Self {
        Self::new("the key is missing").under(field)
    }

    fn unknown_field(field: &str, expected: &'static [&'static str]) -> Self {
        let mut error = Self::new("unknown key").under(field);
        error.allowed = Some(format!("the keys {}", expected.join(", ")));
        error
    }

    fn unknown_variant(variant: &str, expected: &'static [&'static str]) -> Self {
        let mut error = Self::new(format!("unknown value {variant:?}"));
        error.allowed = Some(format!("one of {}", expected.join(", ")));
        error
    }
}

/// Names what was expected; serde names integers by their Rust types.
fn kind(expected: &dyn de::Expected) -> String {
    match expected.to_string().as_str() {
        "u8" | "u16" | "u32" | "u64" | "usize" => "a whole number".to_owned(),
        other => other.to_owned(),
    }
}

/// Presents a parsed value to serde.
#[derive(Clone, Copy)]
struct Node<'v, 'a>(&'v Value<'a>);

impl<'v, 'a> Node<'v, 'a> {
    fn visit<'de, V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Error> {
        match self.0 {
            Value::StringLit(literal) => visitor.visit_str(&literal.value),
            Value::NumberLit(literal) => number(literal.value, visitor),
            Value::BooleanLit(literal) => visitor.visit_bool(literal.value),
            Value::NullKeyword(_) => visitor.visit_unit(),
            Value::Object(object) => visitor.visit_map(Entries::new(object)),
            Value::Array(array) => visitor.visit_seq(Elements {
                values: &array.elements,
                next: 0,
            }),
        }
    }
}

fn number<'de, V: Visitor<'de>>(text: &str, visitor: V) -> Result<V::Value, Error> {
    if let Ok(value) = text.parse::<u64>() {
        return visitor.visit_u64(value);
    }
    if let Ok(value) = text.parse::<i64>() {
        return visitor.visit_i64(value);
    }
    match text.parse::<f64>() {
        Ok(value) => visitor.visit_f64(value),
        Err(_) => Err(Error::new(format!("{text} is not a number"))),
    }
}

impl<'de> de::Deserializer<'de> for Node<'_, '_> {
    type Error = Error;

    fn deserialize_any<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Error> {
        self.visit(visitor)
            .map_err(|error| error.at(self.0.start()))
    }

    fn deserialize_option<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Error> {
        match self.0 {
            Value::NullKeyword(_) => visitor.visit_none(),
            _ => visitor.visit_some(self),
        }
    }

    fn deserialize_newtype_struct<V: Visitor<'de>>(
        self,
        _name: &'static str,
        visitor: V,
    ) -> Result<V::Value, Error> {
        visitor
            .visit_newtype_struct(self)
            .map_err(|error| error.at(self.0.start()))
    }

    fn deserialize_enum<V: Visitor<'de>>(
        self,
        _name: &'static str,
        _variants: &'static [&'static str],
        visitor: V,
    ) -> Result<V::Value, Error> {
        let result = match self.0 {
            Value::StringLit(literal) => {
                visitor.visit_enum(literal.value.as_ref().into_deserializer())
            }
            Value::Object(object) if object.properties.len() == 1 => {
                visitor.visit_enum(Variant(&object.properties[0]))
            }
            _ => Err(Error::new("expected a name or an object with one key")),
        };
        result.map_err(|error| error.at(self.0.start()))
    }

    forward_to_deserialize_any! {
        bool i8 i16 i32 i64 i128 u8 u16 u32 u64 u128 f32 f64 char str string
        bytes byte_buf unit unit_struct seq tuple tuple_struct map struct
        identifier ignored_any
    }
}

struct Entries<'v, 'a> {
    object: &'v Object<'a>,
    next: usize,
}

impl<'v, 'a> Entries<'v, 'a> {
    fn new(object: &'v Object<'a>) -> Self {
        Self { object, next: 0 }
    }
}

impl<'de> de::MapAccess<'de> for Entries<'_, '_> {
    type Error = Error;

    fn next_key_seed<K: DeserializeSeed<'de>>(
        &mut self,
        seed: K,
    ) -> Result<Option<K::Value>, Error> {
        let Some(property) = self.object.properties.get(self.next) else {
            return Ok(None);
        };
        let name = property.name.as_str().into_deserializer();
        seed.deserialize(name)
            .map(Some)
            .map_err(|error: Error| error.at(property.start()))
    }

    fn next_value_seed<V: DeserializeSeed<'de>>(&mut self, seed: V) -> Result<V::Value, Error> {
        let property = &self.object.properties[self.next];
        self.next += 1;
        let value = &property.value;
        seed.deserialize(Node(value))
            .map_err(|error| error.at(value.start()).under(property.name.as_str()))
    }
}

struct Elements<'v, 'a> {
    values: &'v [Value<'a>],
    next: usize,
}

impl<'de> de::SeqAccess<'de> for Elements<'_, '_> {
    type Error = Error;

    fn next_element_seed<T: DeserializeSeed<'de>>(
        &mut self,
        seed: T,
    ) -> Result<Option<T::Value>, Error> {
        let Some(value) = self.values.get(self.next) else {
            return Ok(None);
        };
        let index = self.next;
        self.next += 1;
        seed.deserialize(Node(value))
            .map(Some)
            .map_err(|error| error.at(value.start()).under(index.to_string()))
    }
}

struct Variant<'v, 'a>(&'v ObjectProp<'a>);

impl<'de, 'v, 'a> de::EnumAccess<'de> for Variant<'v, 'a> {
    type Error = Error;
    type Variant = Content<'v, 'a>;

    fn variant_seed<V: DeserializeSeed<'de>>(
        self,
        seed: V,
    ) -> Result<(V::Value, Content<'v, 'a>), Error> {
        let name = self.0.name.as_str().into_deserializer();
        let value = seed
            .deserialize(name)
            .map_err(|error: Error| error.at(self.0.start()))?;
        Ok((value, Content(self.0)))
    }
}

struct Content<'v, 'a>(&'v ObjectProp<'a>);

impl Content<'_, '_> {
    fn node(&self) -> Node<'_, '_> {
        Node(&self.0.value)
    }

    fn place(&self, error: Error) -> Error {
        error.at(self.0.value.start()).under(self.0.name.as_str())
    }
}

impl<'de> de::VariantAccess<'de> for Content<'_, '_> {
    type Error = Error;

    fn unit_variant(self) -> Result<(), Error> {
        <()>::deserialize(self.node()).map_err(|error| self.place(error))
    }

    fn newtype_variant_seed<T: DeserializeSeed<'de>>(self, seed: T) -> Result<T::Value, Error> {
        seed.deserialize(self.node())
            .map_err(|error| self.place(error))
    }

    fn tuple_variant<V: Visitor<'de>>(self, _len: usize, visitor: V) -> Result<V::Value, Error> {
        self.node()
            .visit(visitor)
            .map_err(|error| self.place(error))
    }

    fn struct_variant<V: Visitor<'de>>(
        self,
        _fields: &'static [&'static str],
        visitor: V,
    ) -> Result<V::Value, Error> {
        self.node()
            .visit(visitor)
            .map_err(|error| self.place(error))
    }
}
