//! Prints tables and JSON to standard output.

use holdpoint_core::text::escape_controls;
use serde::Serialize;
use tabled::{builder::Builder, settings::Style};

/// Output format of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Format {
    Table,
    Json,
}

/// Prints rows under a header as a table, or a value as JSON.
pub(crate) fn print<T: Serialize>(
    format: Format,
    value: &T,
    header: &[&str],
    rows: Vec<Vec<String>>,
) {
    match format {
        Format::Json => {
            let text = serde_json::to_string_pretty(value).unwrap_or_default();
            println!("{text}");
        }
        Format::Table => println!("{}", table(header, rows)),
    }
}

/// Formats rows as a table with a header. Control characters in cells are escaped.
pub(crate) fn table(header: &[&str], rows: Vec<Vec<String>>) -> String {
    let mut builder = Builder::default();
    builder.push_record(header.iter().copied());
    for row in rows {
        builder.push_record(row.iter().map(|it| escape_controls(it)));
    }
    builder.build().with(Style::psql()).to_string()
}
