//! The flags of every command.

use std::net::SocketAddr;
use std::path::PathBuf;

use kelpwind::ops::Format;

xflags::xflags! {
    /// Routes requests to servers that own keys exclusively.
    ///
    /// Flags of a node can also be given as environment variables, `--log` as KELPWIND_LOG; a flag
    /// goes before its variable. Operators' commands take the node to call from --node or
    /// KELPWIND_NODE. Exit codes: 0 done, 1 refused or failed, 2 wrong usage.
    cmd kelpwind {
        /// Runs a node beside a backend server.
        cmd node {
            /// Name of the node.
            optional --name NAME: String
            /// Failure domain it stands in.
            optional --domain DOMAIN: String
            /// Address for callers.
            optional --listen ADDR: String
            /// Address for other nodes, TCP and UDP.
            optional --peer ADDR: String
            /// Address for operators and the backend server beside it.
            optional --admin ADDR: String
            /// Address that other nodes are told instead of --peer.
            optional --advertise ADDR: String
            /// Address of the log service.
            optional --log ADDR: String
            /// Peer addresses of nodes to ask while the log is down, separated by commas.
            optional --seeds ADDRS: String
            /// Largest body of a caller's request, in bytes.
            optional --body-limit BYTES: String
            /// Records after which a snapshot is due.
            optional --snapshot-every RECORDS: String
            /// Seconds after which a snapshot is due if records have come.
            optional --snapshot-age SECONDS: String
        }

        /// Runs both example deployments with stand-ins for the platform, in one process.
        cmd dev {
            /// Ends after this many seconds; --for is the same.
            optional --run-for SECONDS: u64
        }

        /// Checks, publishes and shows configuration.
        cmd config {
            /// Reports every fault of a file.
            cmd check {
                required path: PathBuf
            }
            /// Says what differs between two files.
            cmd diff {
                required old: PathBuf
                required new: PathBuf
            }
            /// Publishes a file made from a base revision.
            cmd publish {
                required path: PathBuf
                /// Revision the file was made from.
                required --base REVISION: u64
                /// Operators' addresses to call, separated by commas.
                optional --node ADDRS: String
                /// Who publishes; KELPWIND_AUTHOR or USER otherwise.
                optional --author NAME: String
                /// Lets dangerous changes pass.
                optional --allow-dangerous
                /// Says what would change, and publishes nothing.
                optional --dry-run
                /// Waits up to this many seconds until it is in force at every member.
                optional --wait SECONDS: u64
            }
            /// Shows the configuration in force.
            cmd show {
                /// Operators' addresses to call, separated by commas.
                optional --node ADDRS: String
                /// text or json.
                optional --format FORMAT: Format
            }
            /// Shows the latest revisions.
            cmd history {
                /// Operators' addresses to call, separated by commas.
                optional --node ADDRS: String
                /// text or json.
                optional --format FORMAT: Format
            }
        }

        /// Takes a failure domain out: it gets no new work, its keys move.
        cmd drain {
            required domain: String
            /// Operators' addresses to call, separated by commas.
            optional --node ADDRS: String
            /// Who drains; KELPWIND_AUTHOR or USER otherwise.
            optional --author NAME: String
            /// Lets a service lose its last failure domain.
            optional --allow-dangerous
            /// Waits up to this many seconds until it is in force at every member.
            optional --wait SECONDS: u64
        }

        /// Brings a failure domain back.
        cmd undrain {
            required domain: String
            /// Operators' addresses to call, separated by commas.
            optional --node ADDRS: String
            /// Who brings it back; KELPWIND_AUTHOR or USER otherwise.
            optional --author NAME: String
            /// Waits up to this many seconds until it is in force at every member.
            optional --wait SECONDS: u64
        }

        /// Shows the whole at a glance.
        cmd status {
            /// Operators' addresses to call, separated by commas.
            optional --node ADDRS: String
            /// text or json.
            optional --format FORMAT: Format
        }

        /// Shows the state of a process.
        cmd dump {
            /// Operators' addresses to call, separated by commas.
            optional --node ADDRS: String
            /// text or json.
            optional --format FORMAT: Format
            /// Shows every member.
            optional --all
        }

        /// Tells the way of a key, and why.
        cmd explain {
            required service: String
            required key: String
            /// Operators' addresses to call, separated by commas.
            optional --node ADDRS: String
            /// text or json.
            optional --format FORMAT: Format
        }

        /// Tells what became of a request, from the logs of the nodes.
        cmd explain-request {
            /// Name of the request, as the caller gave it.
            required id: String
            /// Files of log lines, one a node or collected with the node's name before each line.
            repeated files: PathBuf
        }

        /// Lists the numbered result codes.
        cmd codes {}

        /// Runs a stand-in of the platform, for tests.
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
                /// Its service.
                required --service NAME: String
                /// Requests it runs at once.
                optional --slots N: u32
                /// Connections it announces.
                optional --conns N: u32
                /// Time that a request takes, in milliseconds.
                optional --work-ms MS: u64
                /// Time it needs to be at full strength after a start, in milliseconds.
                optional --warm-ms MS: u64
                /// Checks fencing tokens.
                optional --fenced
            }
            /// A proxy that injects faults.
            cmd proxy {
                /// Address for its control.
                required --listen ADDR: SocketAddr
            }
        }
    }
}
