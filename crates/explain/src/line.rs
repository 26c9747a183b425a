//! Parsing of log lines.

use std::fmt;

use serde_json::{Map, Value};

/// Log line.
#[derive(Debug, Clone, PartialEq)]
pub struct Line {
    /// Time of writing in seconds since the Unix epoch, by the clock of the instance's machine.
    pub at: f64,
    /// The instance that wrote the line; empty in lines of older versions.
    pub instance: String,
    /// The message.
    pub message: String,
    fields: Map<String, Value>,
}

impl Line {
    /// Text of a field; empty if the line has no such text field.
    pub fn text(&self, field: &str) -> &str {
        self.fields
            .get(field)
            .and_then(Value::as_str)
            .unwrap_or_default()
    }

    /// Number in a field; `None` if the line has no such number field.
    pub fn number(&self, field: &str) -> Option<u64> {
        self.fields.get(field)?.as_u64()
    }

    /// Text inside `Some(...)`, the form in which optional fields are written.
    pub fn optional(&self, field: &str) -> Option<&str> {
        self.text(field).strip_prefix("Some(")?.strip_suffix(')')
    }

    fn parse(text: &str) -> Option<Self> {
        // A log collector may have added a prefix.
        let json = &text[text.find('{')?..];
        let mut fields: Map<String, Value> = serde_json::from_str(json.trim_end()).ok()?;
        let at = fields.remove("at")?.as_f64()?;
        let message = fields.remove("message")?.as_str()?.to_owned();
        let name = fields.remove("instance");
        let instance = name
            .as_ref()
            .and_then(Value::as_str)
            .unwrap_or_default()
            .to_owned();
        for known in ["level", "part"] {
            fields.remove(known);
        }
        Some(Self {
            at,
            instance,
            message,
            fields,
        })
    }
}

impl fmt::Display for Line {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.3} {} {}", self.at, self.instance, self.message)?;
        for (field, value) in &self.fields {
            match value {
                Value::String(text) => write!(f, " {field}={text}")?,
                other => write!(f, " {field}={other}")?,
            }
        }
        Ok(())
    }
}

/// Parsed log of any number of instances.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct Log {
    /// The lines in order of time.
    pub lines: Vec<Line>,
    /// Number of lines that are truncated or no log lines.
    pub unparsed: usize,
    /// Number of lines that the instances dropped themselves.
    pub dropped: u64,
}

/// Parses the lines of any number of files.
///
/// ```
/// let log = explain::parse(["x 1 {\"at\":2.5,\"message\":\"stopped\"}\n{\"at\":3"]);
/// assert_eq!((log.lines.len(), log.unparsed), (1, 1));
/// ```
pub fn parse<'a>(texts: impl IntoIterator<Item = &'a str>) -> Log {
    let mut log = Log::default();
    for text in texts.into_iter().flat_map(str::lines) {
        if text.trim().is_empty() {
            continue;
        }
        match Line::parse(text) {
            Some(line) => {
                log.dropped += line.number("left_out").unwrap_or_default();
                log.lines.push(line);
            }
            None => log.unparsed += 1,
        }
    }
    log.lines.sort_by(|a, b| a.at.total_cmp(&b.at));
    log
}
