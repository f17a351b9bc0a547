//! Tables and JSON on standard output.

use serde::Serialize;
use tabled::{builder::Builder, settings::Style};

/// Form of the output.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Form {
    Table,
    Json,
}

/// Prints rows under a header as a table, or a value as JSON.
pub(crate) fn print<T: Serialize>(form: Form, value: &T, header: &[&str], rows: Vec<Vec<String>>) {
    match form {
        Form::Json => {
            let text = serde_json::to_string_pretty(value).unwrap_or_default();
            println!("{text}");
        }
        Form::Table => println!("{}", table(header, rows)),
    }
}

/// Lays rows out under a header.
pub(crate) fn table(header: &[&str], rows: Vec<Vec<String>>) -> String {
    let mut builder = Builder::default();
    builder.push_record(header.iter().copied());
    rows.into_iter().for_each(|it| builder.push_record(it));
    builder.build().with(Style::psql()).to_string()
}
