//! Sets one value of a site otherwise than its file says.

use toml::{Table, Value};

use crate::site::{Site, SiteError};

/// One value of a site and what it is set to, written as
/// `routers.count=6,12,24`.
#[derive(Clone, Debug, PartialEq)]
pub struct Setting {
    /// Names the value: keys, and positions in lists, separated by points.
    pub path: String,
    /// What it is set to, one play after the other.
    pub values: Vec<String>,
}

/// Reports a setting that cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum SettingError {
    /// The text has no equals sign or no value.
    #[error("{0:?}: write a path and values, such as routers.count=6,12")]
    Format(String),
    /// The path names nothing in the site.
    #[error("{path}: the site has no {key:?} there")]
    Missing {
        /// The path.
        path: String,
        /// The part of it that is not there.
        key: String,
    },
    /// The site with the value cannot be played.
    #[error(transparent)]
    Site(#[from] SiteError),
    /// The site cannot be written as a table.
    #[error("write site as a table: {0}")]
    Table(#[from] toml::ser::Error),
}

impl std::str::FromStr for Setting {
    type Err = SettingError;

    fn from_str(text: &str) -> Result<Self, SettingError> {
        let format = || SettingError::Format(text.to_owned());
        let (path, values) = text.split_once('=').ok_or_else(format)?;
        let values: Vec<String> = values.split(',').map(|v| v.trim().to_owned()).collect();
        match path.is_empty() || values.iter().any(String::is_empty) {
            true => Err(format()),
            false => Ok(Self {
                path: path.trim().to_owned(),
                values,
            }),
        }
    }
}

impl Setting {
    /// Returns the site with each of the values, and what says so.
    ///
    /// # Errors
    ///
    /// When the path names nothing, or a site cannot be played.
    pub fn sites(&self, site: &Site) -> Result<Vec<(String, Site)>, SettingError> {
        let values = self.values.iter();
        values
            .map(|value| {
                let text = format!("{}={value}", self.path);
                Ok((text.clone(), self.with(site, value, &text)?))
            })
            .collect()
    }

    fn with(&self, site: &Site, value: &str, name: &str) -> Result<Site, SettingError> {
        let mut table = Value::Table(Table::try_from(site)?);
        let place = self.find(&mut table)?;
        // Texts, such as spans of time, need no quotes.
        *place = match place {
            Value::String(_) => Value::String(value.to_owned()),
            Value::Integer(_) => value
                .parse()
                .map_or_else(|_| Value::String(value.to_owned()), Value::Integer),
            _ => value
                .parse()
                .map_or_else(|_| Value::String(value.to_owned()), Value::Float),
        };
        Ok(Site::convert(table, name)?)
    }

    fn find<'a>(&self, table: &'a mut Value) -> Result<&'a mut Value, SettingError> {
        let mut place = table;
        for key in self.path.split('.') {
            let missing = || SettingError::Missing {
                path: self.path.clone(),
                key: key.to_owned(),
            };
            place = match place {
                Value::Table(table) => table.get_mut(key),
                Value::Array(list) => key.parse().ok().and_then(|at: usize| list.get_mut(at)),
                _ => None,
            }
            .ok_or_else(missing)?;
        }
        Ok(place)
    }
}
