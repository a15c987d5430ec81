//! Formats of what a subcommand prints.

use std::str::FromStr;

/// Format of a report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Format {
    /// Aligned text.
    #[default]
    Table,
    /// JSON.
    Json,
}

impl FromStr for Format {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "table" => Ok(Self::Table),
            "json" => Ok(Self::Json),
            _ => Err("choose table or json as format".to_owned()),
        }
    }
}
