//! Builds requests of the administration API from command line arguments.

use clap::ArgMatches;
use http::Method;
use serde_json::Map;
use serde_json::Value;
use serde_json::json;

use crate::commands::admin::args;
use crate::commands::admin::client::Client;
use crate::commands::admin::client::Failure;
use crate::commands::admin::client::read_secret;

type Answer = Result<Value, Failure>;

/// Defaults of a new template. Rate, burst and adapters have no default.
const DEFAULT_MAX_KEYS: u64 = 10;
const DEFAULT_WEIGHT: u64 = 1;

/// Sends the request for the subcommand in `matches`.
pub(super) async fn send(client: &Client, matches: &ArgMatches) -> Answer {
    let Some((group, matches)) = matches.subcommand() else {
        return Err(Failure::Usage("no command; see --help".to_owned()));
    };
    let (verb, inner) = matches.subcommand().unwrap_or(("", matches));
    match (group, verb) {
        ("template", "set") => set_template(client, inner).await,
        ("template", "show") => client.get(&path("/v1/templates/", inner, "")?).await,
        ("template", _) => client.get("/v1/templates").await,
        ("account", "create") => create_account(client, inner).await,
        ("account", "set") => set_account(client, inner).await,
        ("account", "show") => client.get(&path("/v1/accounts/", inner, "")?).await,
        ("account", _) => client.get("/v1/accounts").await,
        ("key", "grant") => grant_key(client, inner).await,
        ("key", "withdraw") => withdraw_key(client, inner).await,
        ("key", _) => client.get(&path("/v1/accounts/", inner, "/keys")?).await,
        ("route", "set") => set_route(client, inner).await,
        ("route", "remove") => remove(client, "/v1/routes/", inner).await,
        ("route", _) => client.get("/v1/routes").await,
        ("roster", "remove") => remove(client, "/v1/roster/", inner).await,
        ("roster", _) => client.get("/v1/roster").await,
        ("share", _) => set_shares(client, inner).await,
        ("history", _) => client.get(&page("/v1/history", matches, args::AFTER)).await,
        ("diff", _) => client.get(&diff_path(matches)).await,
        ("jobs", _) => client.get(&jobs_path(matches)).await,
        ("quarantine", "lift") => {
            let path = path("/v1/quarantine/", inner, "")?;
            client.send(Method::DELETE, &path, None).await
        }
        ("quarantine", _) => client.get("/v1/quarantine").await,
        ("metrics", _) => client.get("/v1/metrics").await,
        _ => client.get("/v1/status").await,
    }
}

/// Reads the template and replaces the values given as arguments. The base revision is the one that
/// was read, so that a concurrent change causes a conflict instead of being overwritten.
async fn set_template(client: &Client, matches: &ArgMatches) -> Answer {
    let path = path("/v1/templates/", matches, "")?;
    let mut change = change(matches);
    let mut values = match client.get(&path).await {
        Ok(mut current) => {
            change.base_on(&current);
            current["parameters"].take()
        }
        Err(Failure::Refused(body)) if body["error"]["code"] == "not_found" => {
            new_template(matches)?
        }
        Err(failure) => return Err(failure),
    };
    merge(&mut values, named_parameters(matches));
    let body = json!({"change": change.value, "parameters": values});
    client.send(Method::PUT, &path, Some(&body)).await
}

fn new_template(matches: &ArgMatches) -> Answer {
    for name in [args::RATE, args::BURST, args::ADAPTERS] {
        if !matches.contains_id(name) {
            let message = format!("--{name} is missing; a new template needs it");
            return Err(Failure::Usage(message));
        }
    }
    Ok(json!({
        "max_keys": DEFAULT_MAX_KEYS,
        "weight": DEFAULT_WEIGHT,
        "patience": ["urgent", "patient"],
        "when_cut_off": "serve",
    }))
}

async fn create_account(client: &Client, matches: &ArgMatches) -> Answer {
    let body = json!({
        "change": change(matches).value,
        "name": text(matches, args::NAME),
        "template": text(matches, args::TEMPLATE),
        "overrides": named_parameters(matches),
    });
    client.send(Method::POST, "/v1/accounts", Some(&body)).await
}

async fn set_account(client: &Client, matches: &ArgMatches) -> Answer {
    let path = path("/v1/accounts/", matches, "")?;
    let mut current = client.get(&path).await?;
    let mut change = change(matches);
    change.base_on(&current);
    let mut overrides = current["overrides"].take();
    for name in matches.get_many::<String>(args::FOLLOW).unwrap_or_default() {
        if let Some(overrides) = overrides.as_object_mut() {
            overrides.remove(&field(name));
        }
    }
    merge(&mut overrides, named_parameters(matches));
    let template = match matches.get_one::<String>(args::TEMPLATE) {
        Some(template) => json!(template),
        None => current["template"].take(),
    };
    let body = json!({"change": change.value, "template": template, "overrides": overrides});
    client.send(Method::PUT, &path, Some(&body)).await
}

/// Generates the key on the client, so that a resent request carries the same key.
async fn grant_key(client: &Client, matches: &ArgMatches) -> Answer {
    let key = match matches.get_one(args::KEY_FILE) {
        Some(path) => read_secret(path)?,
        None => format!("mdl-{}", hex::encode(rand::random::<[u8; 32]>())),
    };
    let body = json!({"change": change(matches).value, "key": key});
    let path = path("/v1/accounts/", matches, "/keys")?;
    client.send(Method::POST, &path, Some(&body)).await
}

async fn withdraw_key(client: &Client, matches: &ArgMatches) -> Answer {
    let mut body = json!({"change": change(matches).value});
    for name in [args::KEY_ID, args::KEY_SHA256] {
        if let Some(text) = matches.get_one::<String>(name) {
            body[field(name)] = json!(text);
        }
    }
    if let Some(path) = matches.get_one(args::KEY_FILE) {
        body["key"] = json!(read_secret(path)?);
    }
    client
        .send(Method::POST, "/v1/withdrawals", Some(&body))
        .await
}

async fn set_route(client: &Client, matches: &ArgMatches) -> Answer {
    let body = json!({
        "change": change(matches).value,
        "route": {
            "service": text(matches, args::SERVICE),
            "path_prefix": text(matches, args::PATH_PREFIX),
            "methods": texts(matches, args::METHOD),
            "access": text(matches, args::ACCESS),
            "repeatable": matches.get_flag(args::REPEATABLE),
        },
    });
    let path = path("/v1/routes/", matches, "")?;
    client.send(Method::PUT, &path, Some(&body)).await
}

async fn remove(client: &Client, prefix: &str, matches: &ArgMatches) -> Answer {
    let mut body = json!({"change": change(matches).value});
    if let Ok(Some(force)) = matches.try_get_one::<bool>(args::FORCE) {
        body["force"] = json!(force);
    }
    let path = path(prefix, matches, "/removal")?;
    client.send(Method::POST, &path, Some(&body)).await
}

async fn set_shares(client: &Client, matches: &ArgMatches) -> Answer {
    let mut shares = Map::new();
    for pair in matches.get_many::<String>(args::SHARES).unwrap_or_default() {
        let parsed = pair.split_once('=').and_then(|(name, ppm)| {
            let ppm: u32 = ppm.parse().ok()?;
            Some((name.to_owned(), json!(ppm)))
        });
        let Some((name, ppm)) = parsed else {
            let message =
                format!("share is {pair:?}; allowed: DATA_CENTRE=PPM with a whole number");
            return Err(Failure::Usage(message));
        };
        shares.insert(name, ppm);
    }
    let body = json!({"change": change(matches).value, "shares_ppm": shares});
    let path = path("/v1/accounts/", matches, "/shares")?;
    client.send(Method::PUT, &path, Some(&body)).await
}

/// The `change` object of a request, with its id and base revision.
struct ChangeRef {
    value: Value,
}

impl ChangeRef {
    /// Sets the base revision to that of `read` unless the operator gave one.
    fn base_on(&mut self, read: &Value) {
        if self.value["base_revision"].is_null() {
            self.value["base_revision"] = read["revision"].clone();
        }
    }
}

fn change(matches: &ArgMatches) -> ChangeRef {
    let new_id = || format!("cli-{:016x}", rand::random::<u64>());
    let change_id = matches.get_one::<String>(args::CHANGE_ID).cloned();
    let base_revision = matches.get_one::<u64>(args::BASE_REVISION);
    ChangeRef {
        value: json!({
            "change_id": change_id.unwrap_or_else(new_id),
            "base_revision": base_revision,
        }),
    }
}

fn named_parameters(matches: &ArgMatches) -> Value {
    let mut values = Map::new();
    for name in [args::MAX_KEYS, args::RATE, args::BURST, args::WEIGHT] {
        if let Some(number) = matches.get_one::<u64>(name) {
            values.insert(field(name), json!(number));
        }
    }
    if matches.contains_id(args::ADAPTERS) {
        values.insert(
            "adapter_sets".to_owned(),
            json!(texts(matches, args::ADAPTERS)),
        );
    }
    if matches.contains_id(args::PATIENCE) {
        values.insert(field(args::PATIENCE), json!(texts(matches, args::PATIENCE)));
    }
    if let Some(policy) = matches.get_one::<String>(args::WHEN_CUT_OFF) {
        values.insert(field(args::WHEN_CUT_OFF), json!(policy));
    }
    Value::Object(values)
}

fn merge(values: &mut Value, named: Value) {
    if let (Some(values), Value::Object(named)) = (values.as_object_mut(), named) {
        values.extend(named);
    }
}

/// Name of the API field that an option sets.
fn field(option: &str) -> String {
    match option {
        args::ADAPTERS => "adapter_sets".to_owned(),
        other => other.replace('-', "_"),
    }
}

fn text<'a>(matches: &'a ArgMatches, name: &str) -> &'a str {
    matches.get_one::<String>(name).map_or("", String::as_str)
}

fn texts<'a>(matches: &'a ArgMatches, name: &str) -> Vec<&'a String> {
    matches.get_many(name).unwrap_or_default().collect()
}

/// Path of `prefix`, the name argument and `suffix`.
fn path(prefix: &str, matches: &ArgMatches, suffix: &str) -> Result<String, Failure> {
    let name = text(matches, args::NAME);
    let is_plain = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    if name.is_empty() || !name.chars().all(is_plain) || name.starts_with('.') {
        let message = format!("name is {name:?}; allowed: letters, digits, -, _ and .");
        return Err(Failure::Usage(message));
    }
    Ok(format!("{prefix}{name}{suffix}"))
}

fn page(base: &str, matches: &ArgMatches, after: &str) -> String {
    let numbers = [("after", after), ("limit", args::LIMIT)];
    let named = numbers.iter().filter_map(|(query, name)| {
        let number = matches.get_one::<u64>(name)?;
        Some(format!("{query}={number}"))
    });
    format!("{base}?{}", named.collect::<Vec<_>>().join("&"))
}

fn diff_path(matches: &ArgMatches) -> String {
    let from = matches.get_one::<u64>(args::FROM).copied().unwrap_or(0);
    match matches.get_one::<u64>(args::TO) {
        Some(to) => format!("/v1/diff?from={from}&to={to}"),
        None => format!("/v1/diff?from={from}"),
    }
}

fn jobs_path(matches: &ArgMatches) -> String {
    let limit = matches.get_one::<u64>(args::LIMIT);
    let limit = limit.map_or(String::new(), |limit| format!("&limit={limit}"));
    format!(
        "/v1/jobs?after={}{limit}",
        encoded(text(matches, args::AFTER))
    )
}

/// Percent-encodes a query value.
fn encoded(text: &str) -> String {
    text.bytes()
        .map(|byte| match byte.is_ascii_alphanumeric() {
            true => char::from(byte).to_string(),
            false => format!("%{byte:02X}"),
        })
        .collect()
}
