//! `kelpwind node`.

use kelpwind::node::settings::RawSettings;
use kelpwind::ops;
use kelpwind::util::error::Result;

use super::or_env;
use crate::cli::Node;

pub(super) async fn run(flags: Node) -> Result<()> {
    let raw = RawSettings {
        name: or_env(flags.name, "NAME"),
        domain: or_env(flags.domain, "DOMAIN"),
        listen: or_env(flags.listen, "LISTEN"),
        peer: or_env(flags.peer, "PEER"),
        admin: or_env(flags.admin, "ADMIN"),
        advertise: or_env(flags.advertise, "ADVERTISE"),
        log: or_env(flags.log, "LOG"),
        seeds: or_env(flags.seeds, "SEEDS"),
        body_limit: or_env(flags.body_limit, "BODY_LIMIT"),
        snapshot_every: or_env(flags.snapshot_every, "SNAPSHOT_EVERY"),
        snapshot_age: or_env(flags.snapshot_age, "SNAPSHOT_AGE"),
    };
    // Prints the addresses for the process that started the node, as one line of JSON.
    let ready = |addrs| println!("{}", serde_json::to_string(&addrs).unwrap_or_default());
    ops::node::run(raw, ready).await
}
