//! Text that others have written, as it is shown to people.

use std::borrow::Cow;

/// Escapes control characters, which could end a line or control a terminal.
pub fn escape_controls(text: &str) -> Cow<'_, str> {
    if !text.contains(char::is_control) {
        return Cow::Borrowed(text);
    }
    let mut escaped = String::with_capacity(text.len() + 8);
    for it in text.chars() {
        if it.is_control() {
            escaped.extend(it.escape_default());
        } else {
            escaped.push(it);
        }
    }
    Cow::Owned(escaped)
}
