//! The part of JSON that the stand-ins read.

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Table(it) => it.iter().find(|it| it.0 == name).map_or(&Json::Null, |it| &it.1),
            _ => &Json::Null,
        }
    }

    pub fn list(&self) -> &[Json] {
        if let Json::List(it) = self { it } else { &[] }
    }

    pub fn text(&self) -> Option<&str> {
        if let Json::Text(it) = self { Some(it) } else { None }
    }

    pub fn number(&self) -> Option<f64> {
        if let Json::Number(it) = self { Some(*it) } else { None }
    }
}

/// Parses a document; `None` if it is malformed.
pub fn parse(text: &[u8]) -> Option<Json> {
    let mut parser = Parser { text, at: 0 };
    let found = parser.value()?;
    parser.space();
    (parser.at == text.len()).then_some(found)
}

/// Quotes a string.
pub fn quote(text: &str) -> String {
    let mut out = String::from("\"");
    for it in text.chars() {
        match it {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            it if (it as u32) < 0x20 => out.push_str(&format!("\\u{:04x}", it as u32)),
            it => out.push(it),
        }
    }
    out.push('"');
    out
}

struct Parser<'a> {
    text: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn space(&mut self) {
        while self.text.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn take(&mut self, sign: u8) -> Option<()> {
        self.space();
        (self.text.get(self.at) == Some(&sign)).then(|| self.at += 1)
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        let found = self.text[self.at..].starts_with(word.as_bytes());
        found.then(|| {
            self.at += word.len();
            value
        })
    }

    fn value(&mut self) -> Option<Json> {
        self.space();
        match self.text.get(self.at)? {
            b'{' => self.table(),
            b'[' => self.list(),
            b'"' => self.string().map(Json::Text),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'n' => self.word("null", Json::Null),
            _ => self.number(),
        }
    }

    fn number(&mut self) -> Option<Json> {
        let from = self.at;
        while self.text.get(self.at).is_some_and(|it| b"+-.eE0123456789".contains(it)) {
            self.at += 1;
        }
        let text = std::str::from_utf8(&self.text[from..self.at]).ok()?;
        text.parse().ok().map(Json::Number)
    }

    fn string(&mut self) -> Option<String> {
        self.take(b'"')?;
        let mut out = Vec::new();
        loop {
            let it = *self.text.get(self.at)?;
            self.at += 1;
            match it {
                b'"' => return String::from_utf8(out).ok(),
                b'\\' => {
                    let it = *self.text.get(self.at)?;
                    self.at += 1;
                    match it {
                        b'n' => out.push(b'\n'),
                        b't' => out.push(b'\t'),
                        b'r' => out.push(b'\r'),
                        b'u' => {
                            let digits = self.text.get(self.at..self.at + 4)?;
                            self.at += 4;
                            let digits = std::str::from_utf8(digits).ok()?;
                            let code = u32::from_str_radix(digits, 16).ok()?;
                            let sign = char::from_u32(code)?;
                            out.extend(sign.to_string().bytes());
                        }
                        it => out.push(it),
                    }
                }
                it => out.push(it),
            }
        }
    }

    fn list(&mut self) -> Option<Json> {
        self.take(b'[')?;
        let mut out = Vec::new();
        if self.take(b']').is_some() {
            return Some(Json::List(out));
        }
        loop {
            out.push(self.value()?);
            if self.take(b']').is_some() {
                return Some(Json::List(out));
            }
            self.take(b',')?;
        }
    }

    fn table(&mut self) -> Option<Json> {
        self.take(b'{')?;
        let mut out = Vec::new();
        if self.take(b'}').is_some() {
            return Some(Json::Table(out));
        }
        loop {
            self.space();
            let name = self.string()?;
            self.take(b':')?;
            out.push((name, self.value()?));
            if self.take(b'}').is_some() {
                return Some(Json::Table(out));
            }
            self.take(b',')?;
        }
    }
}
