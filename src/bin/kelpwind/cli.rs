//! The commands of the program and their flags.

use std::net::SocketAddr;
use std::path::PathBuf;

use kelpwind::ops::Format;

xflags::xflags! {
    /// Routes requests to servers that own keys exclusively.
    ///
    /// Flags of a node can also be given as environment variables, for example `--log` as
    /// KELPWIND_LOG; a flag takes precedence over its variable. Operators' commands call the node
    /// given by --node or KELPWIND_NODE. Exit codes: 0 success, 1 refused or failed, 2 wrong usage.
    cmd kelpwind {
        /// Runs a node beside a backend server.
        cmd node {
            /// Name of the node.
            optional --name NAME: String
            /// Failure domain of the node.
            optional --domain DOMAIN: String
            /// Address to listen on for callers.
            optional --listen ADDR: String
            /// Address to listen on for other nodes, over TCP and UDP.
            optional --peer ADDR: String
            /// Address to listen on for operators and the backend server beside the node.
            optional --admin ADDR: String
            /// Address for other nodes to connect to, if it is not that of --peer.
            optional --advertise ADDR: String
            /// Address of the log service.
            optional --log ADDR: String
            /// Peer addresses of nodes to request records from while the log is down, separated by
            /// commas.
            optional --seeds ADDRS: String
            /// Maximum size of the body of a caller's request, in bytes.
            optional --body-limit BYTES: String
            /// Number of records after which a snapshot is written.
            optional --snapshot-every RECORDS: String
            /// Seconds after which a snapshot is written if there are new records.
            optional --snapshot-age SECONDS: String
        }

        /// Runs both example deployments with stand-ins for the platform, in one process.
        cmd dev {
            /// Stops after this many seconds; --for is an alias.
            optional --run-for SECONDS: u64
        }

        /// Checks, publishes and shows configuration.
        cmd config {
            /// Reports every error in a configuration file.
            cmd check {
                required path: PathBuf
            }
            /// Shows the differences between two configuration files.
            cmd diff {
                required old: PathBuf
                required new: PathBuf
            }
            /// Publishes a configuration file that is based on a revision.
            cmd publish {
                required path: PathBuf
                /// Revision that the file is based on.
                required --base REVISION: u64
                /// Operators' addresses to call, separated by commas.
                optional --node ADDRS: String
                /// Author of the revision; the default is KELPWIND_AUTHOR, then USER.
                optional --author NAME: String
                /// Accepts dangerous changes.
                optional --allow-dangerous
                /// Shows what would change without publishing it.
                optional --dry-run
                /// Waits up to this many seconds until the change is in force at every member.
                optional --wait SECONDS: u64
            }
            /// Shows the current configuration.
            cmd show {
                /// Operators' addresses to call, separated by commas.
                optional --node ADDRS: String
                /// Output format: text or json.
                optional --format FORMAT: Format
            }
            /// Shows the latest revisions and their changes.
            cmd history {
                /// Operators' addresses to call, separated by commas.
                optional --node ADDRS: String
                /// Output format: text or json.
                optional --format FORMAT: Format
            }
        }

        /// Drains a failure domain: it gets no new work, and its keys move to other domains.
        cmd drain {
            required domain: String
            /// Operators' addresses to call, separated by commas.
            optional --node ADDRS: String
            /// Author of the change; the default is KELPWIND_AUTHOR, then USER.
            optional --author NAME: String
            /// Accepts that a service loses its last failure domain.
            optional --allow-dangerous
            /// Waits up to this many seconds until the change is in force at every member.
            optional --wait SECONDS: u64
        }

        /// Ends the drain of a failure domain.
        cmd undrain {
            required domain: String
            /// Operators' addresses to call, separated by commas.
            optional --node ADDRS: String
            /// Author of the change; the default is KELPWIND_AUTHOR, then USER.
            optional --author NAME: String
            /// Waits up to this many seconds until the change is in force at every member.
            optional --wait SECONDS: u64
        }

        /// Shows a summary of the failure domains, services and members.
        cmd status {
            /// Operators' addresses to call, separated by commas.
            optional --node ADDRS: String
            /// Output format: text or json.
            optional --format FORMAT: Format
        }

        /// Shows the internal state of a node.
        cmd dump {
            /// Operators' addresses to call, separated by commas.
            optional --node ADDRS: String
            /// Output format: text or json.
            optional --format FORMAT: Format
            /// Shows the internal state of every member.
            optional --all
        }

        /// Shows how requests for a key are routed, and why.
        cmd explain {
            required service: String
            required key: String
            /// Operators' addresses to call, separated by commas.
            optional --node ADDRS: String
            /// Output format: text or json.
            optional --format FORMAT: Format
        }

        /// Shows the timeline of a request, from the logs of the nodes.
        cmd explain-request {
            /// Identifier of the request, as given by the caller.
            required id: String
            /// Log files, one per node, or collected with the node's name before each line.
            repeated files: PathBuf
        }

        /// Lists the numbered result codes.
        cmd codes {}

        /// Runs a stand-in for a part of the platform, for tests.
        cmd stand-in {
            /// The log service.
            cmd log {
                /// Address to listen on.
                required --listen ADDR: SocketAddr
            }
            /// A backend server.
            cmd backend {
                /// Address to listen on.
                required --listen ADDR: SocketAddr
                /// Operators' address of the node beside it.
                required --node ADDR: SocketAddr
                /// Service that it belongs to.
                required --service NAME: String
                /// Maximum number of requests that it runs at once.
                optional --slots N: u32
                /// Maximum number of connections that it announces.
                optional --conns N: u32
                /// Duration of a request, in milliseconds.
                optional --work-ms MS: u64
                /// Time from its start until it reaches full capacity, in milliseconds.
                optional --warm-ms MS: u64
                /// Checks fencing tokens.
                optional --fenced
            }
            /// A proxy that injects faults.
            cmd proxy {
                /// Address to listen on for commands that control it.
                required --listen ADDR: SocketAddr
            }
        }
    }
}
