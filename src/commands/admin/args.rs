//! Command line arguments of `medlarlift admin`.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::Arg;
use clap::ArgAction;
use clap::ArgGroup;
use clap::Command;
use clap::value_parser;

pub(super) const SERVER: &str = "server";
pub(super) const TOKEN_FILE: &str = "token-file";
pub(super) const TIMEOUT_MS: &str = "timeout-ms";
pub(super) const JSON: &str = "json";
pub(super) const CHANGE_ID: &str = "change-id";
pub(super) const BASE_REVISION: &str = "base-revision";
pub(super) const NAME: &str = "name";
pub(super) const MAX_KEYS: &str = "max-keys";
pub(super) const RATE: &str = "rate-tokens-per-s";
pub(super) const BURST: &str = "burst-tokens";
pub(super) const WEIGHT: &str = "weight";
pub(super) const ADAPTERS: &str = "adapters";
pub(super) const PATIENCE: &str = "patience";
pub(super) const WHEN_CUT_OFF: &str = "when-cut-off";
pub(super) const TEMPLATE: &str = "template";
pub(super) const FOLLOW: &str = "follow";
pub(super) const KEY_ID: &str = "key-id";
pub(super) const KEY_SHA256: &str = "key-sha256";
pub(super) const KEY_FILE: &str = "key-file";
pub(super) const SERVICE: &str = "service";
pub(super) const PATH_PREFIX: &str = "path-prefix";
pub(super) const METHOD: &str = "method";
pub(super) const ACCESS: &str = "access";
pub(super) const REPEATABLE: &str = "repeatable";
pub(super) const FORCE: &str = "force";
pub(super) const SHARES: &str = "shares";
pub(super) const AFTER: &str = "after";
pub(super) const LIMIT: &str = "limit";
pub(super) const FROM: &str = "from";
pub(super) const TO: &str = "to";

/// Options that set one account parameter each.
pub(super) const PARAMETERS: [&str; 7] = [
    MAX_KEYS,
    RATE,
    BURST,
    WEIGHT,
    ADAPTERS,
    PATIENCE,
    WHEN_CUT_OFF,
];

/// The `admin` command.
pub fn command() -> Command {
    Command::new("admin")
        .about("Changes and shows templates, accounts, keys, routes, shares and the roster")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .args(connection())
        .subcommand(template())
        .subcommand(account())
        .subcommand(key())
        .subcommand(route())
        .subcommand(roster())
        .subcommand(share())
        .subcommand(history())
        .subcommand(diff())
        .subcommand(jobs())
        .subcommand(quarantine())
        .subcommand(verb(
            "metrics",
            "Shows the histograms of a VM per client account and class",
        ))
        .subcommand(Command::new("status").about("Shows the state of a VM and of all VMs"))
}

fn connection() -> [Arg; 4] {
    [
        Arg::new(SERVER)
            .long(SERVER)
            .value_name("IP:PORT")
            .help("Administration API of a VM; repeat it to name VMs to try in turn")
            .global(true)
            .action(ArgAction::Append)
            .value_parser(value_parser!(SocketAddr)),
        Arg::new(TOKEN_FILE)
            .long(TOKEN_FILE)
            .value_name("PATH")
            .help("File with the operator's token; otherwise MEDLARLIFT_ADMIN_TOKEN holds it")
            .global(true)
            .value_parser(value_parser!(PathBuf)),
        Arg::new(TIMEOUT_MS)
            .long(TIMEOUT_MS)
            .value_name("MS")
            .help("Wait for one VM before the next is tried")
            .global(true)
            .default_value("5000")
            .value_parser(value_parser!(u64).range(1..=600_000)),
        Arg::new(JSON)
            .long(JSON)
            .help("Prints the server's answer as JSON")
            .global(true)
            .action(ArgAction::SetTrue),
    ]
}

/// Adds the arguments that all changes have in common.
fn change(command: Command) -> Command {
    command
        .arg(
            Arg::new(CHANGE_ID)
                .long(CHANGE_ID)
                .value_name("ID")
                .help("Id of the change; name the same one to resend a change. Drawn if left out"),
        )
        .arg(
            Arg::new(BASE_REVISION)
                .long(BASE_REVISION)
                .value_name("N")
                .help("Fails with a conflict unless this is the current revision")
                .value_parser(value_parser!(u64)),
        )
}

fn verb(name: &'static str, about: &'static str) -> Command {
    Command::new(name).about(about)
}

fn group(name: &'static str, about: &'static str) -> Command {
    verb(name, about)
        .subcommand_required(true)
        .arg_required_else_help(true)
}

fn named(command: Command, value_name: &'static str) -> Command {
    command.arg(Arg::new(NAME).value_name(value_name).required(true))
}

fn number(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("N")
        .help(help)
        .value_parser(value_parser!(u64))
}

fn parameters(command: Command) -> Command {
    command
        .arg(number(MAX_KEYS, "Most live keys"))
        .arg(number(RATE, "Tokens per second over all VMs"))
        .arg(number(BURST, "Tokens above the rate in any window"))
        .arg(number(WEIGHT, "Weight in the fair queue"))
        .arg(
            Arg::new(ADAPTERS)
                .long(ADAPTERS)
                .value_name("PATTERN")
                .help("Adapters that may be used, such as base:frames-*; repeat it for several")
                .action(ArgAction::Append),
        )
        .arg(
            Arg::new(PATIENCE)
                .long(PATIENCE)
                .help("Patience classes on offer; repeat it for several")
                .action(ArgAction::Append)
                .value_parser(["urgent", "patient"]),
        )
        .arg(
            Arg::new(WHEN_CUT_OFF)
                .long(WHEN_CUT_OFF)
                .help("Behaviour of a data centre that is cut off from the log")
                .value_parser(["serve", "refuse"]),
        )
}

fn template() -> Command {
    let set = named(
        verb(
            "set",
            "Creates a template or changes the values that are named",
        ),
        "TEMPLATE",
    );
    group("template", "Templates of accounts")
        .subcommand(change(parameters(set)))
        .subcommand(named(verb("show", "Shows one template"), "TEMPLATE"))
        .subcommand(verb("list", "Lists all templates"))
}

fn account() -> Command {
    let template = || Arg::new(TEMPLATE).long(TEMPLATE).value_name("TEMPLATE");
    let create = named(
        verb("create", "Creates an account from a template"),
        "ACCOUNT",
    )
    .arg(template().help("Template to follow").required(true));
    let follow = Arg::new(FOLLOW)
        .long(FOLLOW)
        .help("Follows the template again in this parameter; repeat it for several")
        .action(ArgAction::Append)
        .value_parser(PARAMETERS);
    let set = named(verb("set", "Changes the values that are named"), "ACCOUNT")
        .arg(template().help("Template to follow from now on"))
        .arg(follow);
    group("account", "Client accounts")
        .subcommand(change(parameters(create)))
        .subcommand(change(parameters(set)))
        .subcommand(named(verb("show", "Shows one account"), "ACCOUNT"))
        .subcommand(verb("list", "Lists all accounts"))
}

fn key() -> Command {
    let key_file = || {
        Arg::new(KEY_FILE)
            .long(KEY_FILE)
            .value_name("PATH")
            .value_parser(value_parser!(PathBuf))
    };
    let grant = named(verb("grant", "Grants a key and prints it"), "ACCOUNT")
        .arg(key_file().help("File with the key; drawn if left out"));
    let withdraw = verb(
        "withdraw",
        "Withdraws a key at once, also without the log's quorum",
    )
    .arg(
        Arg::new(KEY_ID)
            .long(KEY_ID)
            .value_name("ID")
            .help("Public id of the key"),
    )
    .arg(
        Arg::new(KEY_SHA256)
            .long(KEY_SHA256)
            .value_name("HEX")
            .help("SHA-256 of the key"),
    )
    .arg(key_file().help("File with the key"))
    .group(
        ArgGroup::new("key")
            .args([KEY_ID, KEY_SHA256, KEY_FILE])
            .required(true),
    );
    group("key", "Keys of accounts")
        .subcommand(change(grant))
        .subcommand(change(withdraw))
        .subcommand(named(
            verb("list", "Lists the keys of an account"),
            "ACCOUNT",
        ))
}

fn route() -> Command {
    let required = |name| Arg::new(name).long(name).required(true);
    let set = named(verb("set", "Creates or replaces a route"), "ROUTE")
        .arg(required(SERVICE).help("Service that answers"))
        .arg(required(PATH_PREFIX).help("Path prefix below the service, such as /orders"))
        .arg(
            required(METHOD)
                .help("HTTP method; repeat it for several")
                .action(ArgAction::Append),
        )
        .arg(
            required(ACCESS)
                .help("Who may use it")
                .value_parser(["open", "keyed"]),
        )
        .arg(
            Arg::new(REPEATABLE)
                .long(REPEATABLE)
                .help("A call may be sent a second time after a failure")
                .action(ArgAction::SetTrue),
        );
    group("route", "Routes of plain services")
        .subcommand(change(set))
        .subcommand(change(named(verb("remove", "Removes a route"), "ROUTE")))
        .subcommand(verb("list", "Lists all routes"))
}

fn roster() -> Command {
    let force = Arg::new(FORCE)
        .long(FORCE)
        .help("Skips acknowledgements; safe only if the VMs that are missing have stopped for good")
        .action(ArgAction::SetTrue);
    let remove = named(verb("remove", "Removes a VM"), "VM").arg(force);
    group("roster", "VMs that take part")
        .subcommand(verb("list", "Lists all VMs"))
        .subcommand(change(remove))
}

fn quarantine() -> Command {
    let lift = verb(
        "lift",
        "Ends the quarantine of a request on all reachable VMs",
    );
    group(
        "quarantine",
        "Requests that were running on backend servers that crashed",
    )
    .subcommand(verb("list", "Lists quarantined requests"))
    .subcommand(named(lift, "FINGERPRINT"))
}

fn share() -> Command {
    let shares = Arg::new(SHARES)
        .value_name("DATA_CENTRE=PPM")
        .help("Parts per million; equal shares if none is named")
        .num_args(0..);
    let set = named(verb("set", "Sets the shares of an account"), "ACCOUNT").arg(shares);
    group("share", "Shares of an account per data centre").subcommand(change(set))
}

fn history() -> Command {
    verb("history", "Shows changes, the earliest first")
        .arg(number(
            AFTER,
            "Shows changes after this revision; the latest if left out",
        ))
        .arg(number(LIMIT, "Most changes to show"))
}

fn diff() -> Command {
    let revision = |name| {
        Arg::new(name)
            .value_name("REVISION")
            .value_parser(value_parser!(u64))
    };
    verb("diff", "Shows what differs between two revisions")
        .arg(revision(FROM).required(true))
        .arg(revision(TO).help("The current revision if left out"))
}

fn jobs() -> Command {
    verb("jobs", "Lists patient jobs")
        .arg(
            Arg::new(AFTER)
                .long(AFTER)
                .value_name("ID")
                .help("Shows jobs after this id"),
        )
        .arg(number(LIMIT, "Most jobs to show"))
}
