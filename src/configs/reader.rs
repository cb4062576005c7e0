//! Typed access to a YAML mapping that collects all invalid settings instead of stopping at the
//! first.

use std::fmt;
use std::fs;
use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::Path;
use std::path::PathBuf;

use serde_yaml_ng::Mapping;
use serde_yaml_ng::Value;
use snafu::ResultExt;
use snafu::Snafu;

/// Returned instead of a missing or invalid address, which is already recorded.
const PLACEHOLDER_ADDRESS: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);

const ADDRESS_ALLOWED: &str = "an IP address with a port, such as 127.0.0.1:7000";
const TEXT_ALLOWED: &str = "a text that is not empty";
const RATIO_ALLOWED: &str = "a number from 0 to 1";
const BOOL_ALLOWED: &str = "true or false";
const LIST_ALLOWED: &str = "a list";
const OBJECT_ALLOWED: &str = "a mapping of fields to values";

/// Maximum length of an invalid value in a message.
const MAX_SHOWN_VALUE_CHARS: usize = 80;

/// One invalid setting.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct InvalidSetting {
    /// Path of the field, such as `peers[2].peer_address`; empty for the whole file.
    pub path: String,
    /// The value found, or `missing` or `unknown field`.
    pub value: String,
    /// What is allowed instead.
    pub allowed: String,
}

impl fmt::Display for InvalidSetting {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let path = if self.path.is_empty() {
            "(whole file)"
        } else {
            &self.path
        };
        write!(f, "{path}: {}; allowed: {}", self.value, self.allowed)
    }
}

/// Why settings cannot be used.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    /// The file cannot be read.
    #[snafu(display("cannot read settings file {}: {source}", path.display()))]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// Cause.
        source: io::Error,
    },
    /// The text is not YAML.
    #[snafu(display("settings are not valid YAML: {source}"))]
    Syntax {
        /// Cause, with line and column.
        source: serde_yaml_ng::Error,
    },
    /// Some settings are invalid.
    #[snafu(display("{}", list_invalid(settings)))]
    Invalid {
        /// Every invalid setting found.
        settings: Vec<InvalidSetting>,
    },
}

fn list_invalid(settings: &[InvalidSetting]) -> String {
    let lines: Vec<String> = settings
        .iter()
        .map(|setting| format!("  {setting}"))
        .collect();
    format!("{} wrong settings:\n{}", settings.len(), lines.join("\n"))
}

/// Reads the settings file at `path` with `read`.
///
/// # Errors
/// The file cannot be read, is not YAML or has invalid settings, all of which are returned.
pub fn read_file<T>(
    path: &Path,
    read: impl FnOnce(&mut Reader<'_>) -> T,
) -> Result<T, SettingsError> {
    let text = fs::read_to_string(path).context(UnreadableSnafu { path })?;
    read_text(&text, read)
}

/// Reads the settings in `text` with `read`.
///
/// # Errors
/// The text is not YAML or has invalid settings, all of which are returned.
pub fn read_text<T>(
    text: &str,
    read: impl FnOnce(&mut Reader<'_>) -> T,
) -> Result<T, SettingsError> {
    let value: Value = serde_yaml_ng::from_str(text).context(SyntaxSnafu)?;
    let mut reader = Reader::new(String::new(), Some(&value));
    let settings = read(&mut reader);
    let invalid = reader.finish();
    if invalid.is_empty() {
        Ok(settings)
    } else {
        InvalidSnafu { settings: invalid }.fail()
    }
}

/// Reads the fields of one mapping. Each getter records an invalid setting and returns a
/// placeholder, so that one run finds all of them. A field that no getter has read is invalid as
/// well.
#[derive(Debug)]
pub struct Reader<'v> {
    path: String,
    fields: Option<&'v Mapping>,
    known: Vec<&'static str>,
    invalid: Vec<InvalidSetting>,
}

impl<'v> Reader<'v> {
    fn new(path: String, value: Option<&'v Value>) -> Self {
        let mut reader = Self {
            path,
            fields: None,
            known: Vec::new(),
            invalid: Vec::new(),
        };
        match value {
            Some(Value::Mapping(fields)) => reader.fields = Some(fields),
            None | Some(Value::Null) => {}
            Some(other) => reader.invalid.push(InvalidSetting {
                path: reader.path.clone(),
                value: describe_value(other),
                allowed: OBJECT_ALLOWED.to_owned(),
            }),
        }
        reader
    }

    fn finish(mut self) -> Vec<InvalidSetting> {
        let Some(fields) = self.fields else {
            return self.invalid;
        };
        for key in fields.keys() {
            let name = key
                .as_str()
                .map_or_else(|| describe_value(key), str::to_owned);
            if !self.known.contains(&name.as_str()) {
                self.invalid.push(InvalidSetting {
                    path: self.path_of(&name),
                    value: "unknown field".to_owned(),
                    allowed: format!("one of {}", self.known.join(", ")),
                });
            }
        }
        self.invalid
    }

    fn path_of(&self, name: &str) -> String {
        if self.path.is_empty() {
            name.to_owned()
        } else {
            format!("{}.{name}", self.path)
        }
    }

    /// The value of `name`. An explicit `null` counts as absent.
    fn get(&mut self, name: &'static str) -> Option<&'v Value> {
        if !self.known.contains(&name) {
            self.known.push(name);
        }
        let value = self.fields?.get(name)?;
        (!value.is_null()).then_some(value)
    }

    /// Records the field `name` as invalid, for checks beyond those of the getters.
    pub fn reject(&mut self, name: &str, value: impl fmt::Display, allowed: impl fmt::Display) {
        self.invalid.push(InvalidSetting {
            path: self.path_of(name),
            value: value.to_string(),
            allowed: allowed.to_string(),
        });
    }

    fn missing(&mut self, name: &str, allowed: &str) {
        self.reject(name, "missing", allowed);
    }

    /// Whether the field `name` is set.
    pub fn is_set(&mut self, name: &'static str) -> bool {
        self.get(name).is_some()
    }

    fn parsed<T>(
        &mut self,
        name: &'static str,
        allowed: &str,
        parse: impl FnOnce(&'v Value) -> Option<T>,
    ) -> Option<T> {
        let value = self.get(name)?;
        let parsed = parse(value);
        if parsed.is_none() {
            self.reject(name, describe_value(value), allowed);
        }
        parsed
    }

    /// A whole number within `range`, or `default` if the field is absent.
    pub fn u64(&mut self, name: &'static str, default: u64, range: RangeInclusive<u64>) -> u64 {
        self.optional_u64(name, range).unwrap_or(default)
    }

    /// A whole number within `range`, if the field is set.
    pub fn optional_u64(&mut self, name: &'static str, range: RangeInclusive<u64>) -> Option<u64> {
        let allowed = format!("a whole number from {} to {}", range.start(), range.end());
        let parse = |value: &Value| value.as_u64().filter(|number| range.contains(number));
        self.parsed(name, &allowed, parse)
    }

    /// A whole number within `range`; the field is required.
    pub fn required_u64(&mut self, name: &'static str, range: RangeInclusive<u64>) -> u64 {
        if !self.is_set(name) {
            let allowed = format!("a whole number from {} to {}", range.start(), range.end());
            self.missing(name, &allowed);
        }
        let fallback = *range.start();
        self.u64(name, fallback, range)
    }

    /// A number within `range`, or `default` if the field is absent.
    pub fn f64(&mut self, name: &'static str, default: f64, range: RangeInclusive<f64>) -> f64 {
        let allowed = format!("a number from {} to {}", range.start(), range.end());
        let parse = |value: &Value| value.as_f64().filter(|number| range.contains(number));
        self.parsed(name, &allowed, parse).unwrap_or(default)
    }

    /// A number from 0 to 1, or `default` if the field is absent.
    pub fn ratio(&mut self, name: &'static str, default: f64) -> f64 {
        let parse = |value: &Value| value.as_f64().filter(|ratio| (0.0..=1.0).contains(ratio));
        self.parsed(name, RATIO_ALLOWED, parse).unwrap_or(default)
    }

    /// A boolean, or `default` if the field is absent.
    pub fn bool(&mut self, name: &'static str, default: bool) -> bool {
        self.parsed(name, BOOL_ALLOWED, Value::as_bool)
            .unwrap_or(default)
    }

    /// A text, or `default` if the field is absent.
    pub fn text(&mut self, name: &'static str, default: &str) -> String {
        self.optional_text(name)
            .unwrap_or_else(|| default.to_owned())
    }

    /// A text, if the field is set.
    pub fn optional_text(&mut self, name: &'static str) -> Option<String> {
        self.parsed(name, TEXT_ALLOWED, text_of)
    }

    /// A text; the field is required.
    pub fn required_text(&mut self, name: &'static str) -> String {
        if !self.is_set(name) {
            self.missing(name, TEXT_ALLOWED);
        }
        self.text(name, "")
    }

    /// A text that must not appear in messages, such as a key; the field is required.
    pub fn required_secret(&mut self, name: &'static str) -> String {
        let text = self.get(name).map(text_of);
        match text {
            Some(Some(text)) => return text,
            Some(None) => self.reject(name, "not a text", TEXT_ALLOWED),
            None => self.missing(name, TEXT_ALLOWED),
        }
        String::new()
    }

    /// A SHA-256 digest in 64 hexadecimal digits, if the field is set.
    pub fn optional_sha256(&mut self, name: &'static str) -> Option<[u8; 32]> {
        let parse = |value: &Value| hex::decode(value.as_str()?).ok()?.try_into().ok();
        self.parsed(name, "64 hexadecimal digits", parse)
    }

    /// One of the named `choices`, or `default` if the field is absent.
    pub fn choice<T: Clone>(&mut self, name: &'static str, default: T, choices: &[(&str, T)]) -> T {
        let names: Vec<&str> = choices.iter().map(|(name, _)| *name).collect();
        let allowed = format!("one of {}", names.join(", "));
        let parse = |value: &Value| {
            let text = value.as_str()?;
            let found = choices.iter().find(|(name, _)| *name == text)?;
            Some(found.1.clone())
        };
        self.parsed(name, &allowed, parse).unwrap_or(default)
    }

    /// An IP address with a port, if the field is set. Host names are not looked up.
    pub fn optional_address(&mut self, name: &'static str) -> Option<SocketAddr> {
        self.parsed(name, ADDRESS_ALLOWED, address_of)
    }

    /// An IP address with a port, or `default` if the field is absent.
    pub fn address(&mut self, name: &'static str, default: SocketAddr) -> SocketAddr {
        self.optional_address(name).unwrap_or(default)
    }

    /// An IP address with a port; the field is required.
    pub fn required_address(&mut self, name: &'static str) -> SocketAddr {
        if !self.is_set(name) {
            self.missing(name, ADDRESS_ALLOWED);
        }
        self.address(name, PLACEHOLDER_ADDRESS)
    }

    /// A list of texts, empty if the field is absent.
    pub fn texts(&mut self, name: &'static str) -> Vec<String> {
        self.items(name, TEXT_ALLOWED, text_of)
    }

    /// A list of IP addresses with ports, empty if the field is absent.
    pub fn addresses(&mut self, name: &'static str) -> Vec<SocketAddr> {
        self.items(name, ADDRESS_ALLOWED, address_of)
    }

    fn items<T>(
        &mut self,
        name: &'static str,
        allowed: &str,
        parse: impl Fn(&Value) -> Option<T>,
    ) -> Vec<T> {
        let values = self.parsed(name, LIST_ALLOWED, Value::as_sequence);
        let mut items = Vec::new();
        for (index, value) in values.into_iter().flatten().enumerate() {
            match parse(value) {
                Some(item) => items.push(item),
                None => self.reject(&format!("{name}[{index}]"), describe_value(value), allowed),
            }
        }
        items
    }

    /// A list of mappings, each read with `read`; empty if the field is absent.
    pub fn list<T>(
        &mut self,
        name: &'static str,
        mut read: impl FnMut(&mut Reader<'v>) -> T,
    ) -> Vec<T> {
        let values = self.parsed(name, LIST_ALLOWED, Value::as_sequence);
        let mut items = Vec::new();
        for (index, value) in values.into_iter().flatten().enumerate() {
            let path = self.path_of(&format!("{name}[{index}]"));
            items.push(self.nested(path, Some(value), &mut read));
        }
        items
    }

    /// A mapping read with `read`, which gets an empty mapping if the field is absent.
    pub fn object<T>(&mut self, name: &'static str, read: impl FnOnce(&mut Reader<'v>) -> T) -> T {
        let value = self.get(name);
        self.nested(self.path_of(name), value, read)
    }

    /// A mapping read with `read`, if the field is set.
    pub fn optional_object<T>(
        &mut self,
        name: &'static str,
        read: impl FnOnce(&mut Reader<'v>) -> T,
    ) -> Option<T> {
        self.is_set(name).then(|| self.object(name, read))
    }

    fn nested<T>(
        &mut self,
        path: String,
        value: Option<&'v Value>,
        read: impl FnOnce(&mut Reader<'v>) -> T,
    ) -> T {
        let mut reader = Reader::new(path, value);
        let settings = read(&mut reader);
        self.invalid.extend(reader.finish());
        settings
    }
}

fn text_of(value: &Value) -> Option<String> {
    let text = value.as_str()?;
    (!text.is_empty()).then(|| text.to_owned())
}

fn address_of(value: &Value) -> Option<SocketAddr> {
    value.as_str()?.parse().ok()
}

/// Describes an invalid value on one line of bounded length.
fn describe_value(value: &Value) -> String {
    match value {
        Value::Mapping(_) => "a mapping".to_owned(),
        Value::Sequence(_) => "a list".to_owned(),
        scalar => {
            let text = serde_yaml_ng::to_string(scalar).unwrap_or_default();
            text.trim_end()
                .chars()
                .take(MAX_SHOWN_VALUE_CHARS)
                .collect()
        }
    }
}
