//! Reading and checking of INI settings files.
//!
//! Readers look up each key by section and name and describe the accepted values in
//! words. Invalid settings are collected, so that one run reports all of them. Keys that
//! no reader looked up are reported as unknown.

use std::collections::BTreeSet;
use std::fmt;
use std::path::{Path, PathBuf};
use std::str::FromStr;

use ini::Ini;
use thiserror::Error;

/// A missing, invalid or unknown setting of a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidSetting {
    pub section: String,
    pub key: String,
    pub kind: InvalidKind,
}

/// What is wrong with a setting.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum InvalidKind {
    Missing { accepted: String },
    Invalid { value: String, accepted: String },
    UnknownKey,
}

impl fmt::Display for InvalidSetting {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "[{}] {}: ", self.section, self.key)?;
        match &self.kind {
            InvalidKind::Missing { accepted } => write!(f, "missing; expected {accepted}"),
            InvalidKind::Invalid { value, accepted } => {
                write!(f, "{value:?} is not accepted; expected {accepted}")
            }
            InvalidKind::UnknownKey => f.write_str("unknown key"),
        }
    }
}

/// Why a settings file was not accepted.
#[derive(Debug, Error)]
pub enum SettingsError {
    #[error("could not read settings file {path}")]
    Unreadable { path: PathBuf, source: Box<ini::Error> },
    #[error("settings file {path} has {} invalid setting(s):{}", problems.len(), list(problems))]
    Invalid { path: PathBuf, problems: Vec<InvalidSetting> },
}

fn list(problems: &[InvalidSetting]) -> String {
    problems.iter().map(|setting| format!("\n  {setting}")).collect()
}

/// A settings file that is being read, with the invalid settings found so far.
#[derive(Debug)]
pub struct SettingsFile {
    path: PathBuf,
    ini: Ini,
    /// Section and key of the settings that were looked up.
    known: BTreeSet<(String, String)>,
    problems: Vec<InvalidSetting>,
}

impl SettingsFile {
    pub fn open(path: &Path) -> Result<Self, SettingsError> {
        match Ini::load_from_file(path) {
            Ok(ini) => Ok(Self::new(path, ini)),
            Err(source) => {
                Err(SettingsError::Unreadable { path: path.into(), source: Box::new(source) })
            }
        }
    }

    /// Reads settings from `text`; `path` appears only in errors.
    pub fn parse(path: &Path, text: &str) -> Result<Self, SettingsError> {
        match Ini::load_from_str(text) {
            Ok(ini) => Ok(Self::new(path, ini)),
            Err(source) => Err(SettingsError::Unreadable {
                path: path.into(),
                source: Box::new(ini::Error::Parse(source)),
            }),
        }
    }

    fn new(path: &Path, ini: Ini) -> Self {
        Self { path: path.into(), ini, known: BTreeSet::new(), problems: Vec::new() }
    }

    /// The raw value of a key, which counts as known afterwards.
    fn look_up(&mut self, section: &str, key: &str) -> Option<String> {
        self.known.insert((section.into(), key.into()));
        self.ini.get_from(Some(section), key).map(str::to_owned)
    }

    /// Names of the sections, in file order.
    #[must_use]
    pub fn sections(&self) -> Vec<String> {
        self.ini.sections().flatten().map(str::to_owned).collect()
    }

    /// Names of the keys in a section, in file order.
    #[must_use]
    pub fn keys(&self, section: &str) -> Vec<String> {
        let properties = self.ini.section(Some(section)).into_iter();
        properties.flat_map(|properties| properties.iter()).map(|(key, _)| key.to_owned()).collect()
    }

    /// A required value; `accepted` describes the valid values in error messages.
    pub fn required<T: FromStr>(&mut self, section: &str, key: &str, accepted: &str) -> Option<T> {
        let Some(value) = self.look_up(section, key) else {
            self.report_invalid(section, key, InvalidKind::Missing { accepted: accepted.into() });
            return None;
        };
        self.parsed(section, key, &value, accepted)
    }

    /// An optional value, or its default.
    pub fn or_default<T: FromStr>(
        &mut self,
        section: &str,
        key: &str,
        accepted: &str,
        default: T,
    ) -> Option<T> {
        match self.look_up(section, key) {
            Some(value) => self.parsed(section, key, &value, accepted),
            None => Some(default),
        }
    }

    /// An integer from `low` to `high`; required if `default` is `None`.
    pub fn integer(
        &mut self,
        section: &str,
        key: &str,
        (low, high): (u64, u64),
        default: Option<u64>,
    ) -> Option<u64> {
        let accepted = format!("an integer from {low} to {high}");
        let value: u64 = match default {
            Some(default) => self.or_default(section, key, &accepted, default)?,
            None => self.required(section, key, &accepted)?,
        };
        if (low..=high).contains(&value) {
            return Some(value);
        }
        self.report_invalid(
            section,
            key,
            InvalidKind::Invalid { value: value.to_string(), accepted },
        );
        None
    }

    /// A number from `low` to `high`, which may have a fraction; `None` if it is missing or
    /// empty. The outer `None` means that it is invalid.
    pub fn decimal(
        &mut self,
        section: &str,
        key: &str,
        (low, high): (f64, f64),
    ) -> Option<Option<f64>> {
        let Some(value) = self.look_up(section, key).filter(|value| !value.is_empty()) else {
            return Some(None);
        };
        let accepted = format!("a number from {low} to {high}");
        let number: f64 = self.parsed(section, key, &value, &accepted)?;
        if (low..=high).contains(&number) {
            return Some(Some(number));
        }
        self.report_invalid(section, key, InvalidKind::Invalid { value, accepted });
        None
    }

    /// A required comma-separated list with at least one value.
    pub fn list<T: FromStr>(&mut self, section: &str, key: &str, accepted: &str) -> Option<Vec<T>> {
        let Some(value) = self.look_up(section, key) else {
            self.report_invalid(section, key, InvalidKind::Missing { accepted: accepted.into() });
            return None;
        };
        let parts: Vec<&str> = value.split(',').map(str::trim).collect();
        parts.into_iter().map(|part| self.parsed(section, key, part, accepted)).collect()
    }

    fn parsed<T: FromStr>(
        &mut self,
        section: &str,
        key: &str,
        value: &str,
        accepted: &str,
    ) -> Option<T> {
        if let Ok(parsed) = value.parse() {
            return Some(parsed);
        }
        let kind = InvalidKind::Invalid { value: value.into(), accepted: accepted.into() };
        self.report_invalid(section, key, kind);
        None
    }

    /// Records an invalid setting that a reader has found.
    pub fn report_invalid(&mut self, section: &str, key: &str, kind: InvalidKind) {
        self.problems.push(InvalidSetting { section: section.into(), key: key.into(), kind });
    }

    /// Ends the check; `settings` is `None` if a reader has recorded an invalid setting.
    pub fn finish<T>(mut self, settings: Option<T>) -> Result<T, SettingsError> {
        self.report_unknown();
        match settings {
            Some(settings) if self.problems.is_empty() => Ok(settings),
            _ => Err(SettingsError::Invalid { path: self.path, problems: self.problems }),
        }
    }

    fn report_unknown(&mut self) {
        let mut unknown = Vec::new();
        for (section, properties) in &self.ini {
            let section = section.unwrap_or("");
            for (key, _) in properties.iter() {
                if !self.known.contains(&(section.to_owned(), key.to_owned())) {
                    unknown.push((section.to_owned(), key.to_owned()));
                }
            }
        }
        for (section, key) in unknown {
            self.report_invalid(&section, &key, InvalidKind::UnknownKey);
        }
    }
}
