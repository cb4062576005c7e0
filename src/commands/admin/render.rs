//! Renders answers of the administration API as text.

use serde_json::Value;

/// Lists that answers may contain, with the columns to show.
const TABLES: [(&str, &[&str]); 13] = [
    (
        "templates",
        &[
            "name",
            "parameters.rate_tokens_per_s",
            "parameters.burst_tokens",
            "parameters.weight",
            "parameters.max_keys",
            "parameters.patience",
        ],
    ),
    (
        "accounts",
        &[
            "name",
            "template",
            "parameters.rate_tokens_per_s",
            "parameters.burst_tokens",
            "parameters.weight",
            "parameters.patience",
        ],
    ),
    ("keys", &["key_id", "withdrawn"]),
    (
        "routes",
        &[
            "name",
            "route.service",
            "route.path_prefix",
            "route.methods",
            "route.access",
            "route.repeatable",
        ],
    ),
    (
        "vms",
        &["vm", "data_centre", "state", "leaving", "revision"],
    ),
    ("pending", &["data_centre", "vm", "is_removal", "missing"]),
    (
        "changes",
        &["revision", "at_unix_ms", "operator", "change_id", "object"],
    ),
    ("lines", &["object", "field", "before", "after"]),
    (
        "jobs",
        &["job", "account", "status", "attempt", "deadline_unix_ms"],
    ),
    ("entries", &["fingerprint", "crashes", "until_unix_ms"]),
    (
        "timings",
        &[
            "account", "class", "timing", "count", "p50_ms", "p95_ms", "p99_ms",
        ],
    ),
    ("parameters", &[]),
    ("overrides", &[]),
];

/// Renders an answer as lines of `name: value`, followed by its tables.
pub(super) fn text(answer: &Value) -> String {
    let mut blocks = vec![fields("", answer)];
    for (name, columns) in TABLES {
        match answer.get(name) {
            Some(Value::Array(rows)) => blocks.push(table(name, columns, rows)),
            Some(object @ Value::Object(_)) => blocks.push(fields(&format!("{name}."), object)),
            _ => {}
        }
    }
    blocks.retain(|block| !block.is_empty());
    blocks.join("\n")
}

/// Renders the error of an answer, with the field, the value and the allowed values unless the
/// message contains them.
pub(super) fn error(answer: &Value) -> String {
    let error = &answer["error"];
    let mut text = format!("{}: {}", cell(&error["code"]), cell(&error["message"]));
    let is_new = |part: &str| !text.contains(part);
    let parts: Vec<String> = ["field", "value", "allowed"]
        .iter()
        .filter(|name| !error[**name].is_null())
        .filter(|name| is_new(&cell(&error[**name])))
        .map(|name| format!("\n  {name}: {}", cell(&error[*name])))
        .collect();
    text.push_str(&parts.concat());
    text
}

fn fields(prefix: &str, object: &Value) -> String {
    let Some(members) = object.as_object() else {
        return String::new();
    };
    let is_table = |name: &str| prefix.is_empty() && TABLES.iter().any(|(table, _)| *table == name);
    let shown = members
        .iter()
        .filter(|(name, value)| !(is_table(name) && (value.is_array() || value.is_object())));
    shown
        .map(|(name, value)| format!("{prefix}{name}: {}\n", cell(value)))
        .collect()
}

fn table(name: &str, columns: &[&str], rows: &[Value]) -> String {
    if rows.is_empty() {
        return format!("no {name}\n");
    }
    let used = columns
        .iter()
        .filter(|c| rows.iter().any(|row| at(row, c).is_some()));
    let used: Vec<&str> = used.copied().collect();
    let titles = used
        .iter()
        .map(|c| c.rsplit('.').next().unwrap_or(c).to_owned());
    let mut lines: Vec<Vec<String>> = vec![titles.collect()];
    for row in rows {
        let cells = used
            .iter()
            .map(|column| at(row, column).map_or("-".to_owned(), cell));
        lines.push(cells.collect());
    }
    let widths: Vec<usize> = (0..used.len())
        .map(|i| {
            lines
                .iter()
                .map(|line| line[i].chars().count())
                .max()
                .unwrap_or(0)
        })
        .collect();
    lines.iter().map(|line| padded(line, &widths)).collect()
}

fn padded(line: &[String], widths: &[usize]) -> String {
    let cells = line.iter().zip(widths);
    let text: Vec<String> = cells
        .map(|(cell, width)| format!("{cell:width$}"))
        .collect();
    format!("{}\n", text.join("  ").trim_end())
}

fn at<'a>(row: &'a Value, column: &str) -> Option<&'a Value> {
    let found = column
        .split('.')
        .try_fold(row, |value, part| value.get(part));
    found.filter(|value| !value.is_null())
}

fn cell(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::String(text) => text.clone(),
        Value::Array(parts) => parts.iter().map(cell).collect::<Vec<_>>().join(","),
        Value::Object(members) => {
            let pairs = members
                .iter()
                .map(|(name, value)| format!("{name}={}", cell(value)));
            pairs.collect::<Vec<_>>().join(" ")
        }
        other => other.to_string(),
    }
}
