//! A small JSON reader, as the cases may add no dependency.

use std::collections::BTreeMap;

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let mut reader = Reader { bytes: text.as_bytes(), at: 0 };
        let value = reader.value()?;
        reader.space();
        (reader.at == reader.bytes.len()).then_some(value)
    }

    pub fn get(&self, key: &str) -> &Json {
        match self {
            Json::Object(fields) => fields.get(key).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    pub fn number(&self) -> Option<f64> {
        match self {
            Json::Number(number) => Some(*number),
            _ => None,
        }
    }

    pub fn text(&self) -> Option<&str> {
        match self {
            Json::Text(text) => Some(text),
            _ => None,
        }
    }

    pub fn items(&self) -> &[Json] {
        match self {
            Json::List(items) => items,
            _ => &[],
        }
    }

    pub fn is_true(&self) -> bool {
        *self == Json::Bool(true)
    }
}

struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Reader<'_> {
    fn space(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn take(&mut self, word: &str) -> Option<()> {
        self.bytes[self.at..].starts_with(word.as_bytes()).then(|| self.at += word.len())
    }

    fn value(&mut self) -> Option<Json> {
        self.space();
        match *self.bytes.get(self.at)? {
            b'{' => {
                self.at += 1;
                let mut fields = BTreeMap::new();
                loop {
                    self.space();
                    if fields.is_empty() && self.take("}").is_some() {
                        return Some(Json::Object(fields));
                    }
                    let key = self.text()?;
                    self.space();
                    self.take(":")?;
                    fields.insert(key, self.value()?);
                    self.space();
                    if self.take(",").is_none() {
                        self.take("}")?;
                        return Some(Json::Object(fields));
                    }
                }
            }
            b'[' => {
                self.at += 1;
                let mut items = Vec::new();
                loop {
                    self.space();
                    if items.is_empty() && self.take("]").is_some() {
                        return Some(Json::List(items));
                    }
                    items.push(self.value()?);
                    self.space();
                    if self.take(",").is_none() {
                        self.take("]")?;
                        return Some(Json::List(items));
                    }
                }
            }
            b'"' => self.text().map(Json::Text),
            b't' => self.take("true").map(|()| Json::Bool(true)),
            b'f' => self.take("false").map(|()| Json::Bool(false)),
            b'n' => self.take("null").map(|()| Json::Null),
            _ => {
                let rest = &self.bytes[self.at..];
                let end = rest.iter().position(|b| !b"+-.eE0123456789".contains(b)).unwrap_or(rest.len());
                let number = std::str::from_utf8(&rest[..end]).ok()?.parse().ok()?;
                self.at += end;
                Some(Json::Number(number))
            }
        }
    }

    fn text(&mut self) -> Option<String> {
        self.take("\"")?;
        let mut text = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(text).ok(),
                b'\\' => {
                    text.push(*self.bytes.get(self.at)?);
                    self.at += 1;
                }
                byte => text.push(byte),
            }
        }
    }
}
