//! How often nodes read the store.
//!
//! The intervals grow with the number of members, because every call has a cost and every node
//! reads what any node writes.
//!
//! Two requirements limit the intervals. Orders, which operators publish, must be in force 2 s
//! after the store has acknowledged them, and equally soon after an outage in which reads got no
//! answer; members that join must get work within seconds. So some nodes read the orders frequently
//! and notify the others ([`ReadRole`]), members tell all others when they join or leave, and every
//! node reads the table at least every few seconds.
//! This module does no I/O.

use std::time::Duration;

/// Longest time that one read of the orders waits for a new record, on nodes that read frequently.
/// A read that the store never answers times out 2.2 s after it was sent, including the extra time
/// allowed for the answer. So it is repeated within 3 s after an outage; from then on hosts count
/// as in contact again.
const FREQUENT_WAIT: Duration = Duration::from_millis(1200);
/// The same on all other nodes.
const INFREQUENT_WAIT: Duration = Duration::from_secs(15);
/// Mean number of nodes that read the orders frequently. With this mean, fewer than three nodes
/// have the role about once in 2,000 draws.
const MEAN_FREQUENT_READERS: f64 = 12.0;
/// Up to this number of members all nodes read the orders frequently, since few calls could be
/// saved.
const ALL_FREQUENT_MAX: u32 = 24;
/// Longest pause after failed reads of the orders, on nodes that read frequently.
const FREQUENT_RETRY_MAX: Duration = Duration::from_millis(400);
/// The same on all other nodes.
const INFREQUENT_RETRY_MAX: Duration = Duration::from_millis(1500);
/// Shortest and longest interval between two reads of the table while it changes.
const TABLE_INTERVAL_BOUNDS: (Duration, Duration) =
    (Duration::from_secs(1), Duration::from_secs(8));
/// Longest time for which a read of the table waits for a record, with up to [`ALL_FREQUENT_MAX`]
/// members and with more. Records of the table have no deadline by which they must be in force, and
/// nodes that need one sooner are told of it.
const TABLE_WAITS: (Duration, Duration) = (Duration::from_secs(3), Duration::from_secs(12));
/// Interval between two reads of the table, per member.
const TABLE_INTERVAL_PER_MEMBER: Duration = Duration::from_millis(45);
/// Shortest interval between two reads of the table, also when a node needs a record at once.
const INTERVAL_MIN: Duration = Duration::from_millis(25);
/// The same, per member: when many nodes start at once, their records are then read in few calls.
const INTERVAL_PER_MEMBER_MIN: Duration = Duration::from_millis(2);
/// Shortest interval between two reads by a node that only guesses that the table has changed.
const SPECULATIVE_INTERVAL: Duration = Duration::from_millis(400);
/// The same, per member.
const SPECULATIVE_INTERVAL_PER_MEMBER: Duration = Duration::from_millis(20);
/// Upper limit of the intervals and pauses that grow with the number of members.
const INTERVAL_MAX: Duration = Duration::from_secs(2);

/// How a node reads the orders, for one [`ReadRole::duration`] at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadRole {
    /// With short reads; it notifies the others of new orders.
    Frequent,
    /// With long reads; it reads again when another node notifies it.
    Infrequent,
}

impl ReadRole {
    /// The role of a node among `members` nodes; `draw` is a random number from 0 to 1.
    pub fn assign(members: u32, draw: f64) -> ReadRole {
        let frequent =
            members <= ALL_FREQUENT_MAX || draw * f64::from(members) < MEAN_FREQUENT_READERS;
        if frequent { ReadRole::Frequent } else { ReadRole::Infrequent }
    }

    /// How long a node keeps its role. A node draws a new role only between two reads, so this is
    /// as long as the longest read: with a shorter duration, nodes would give up the frequent role
    /// sooner than others could take it, and too few nodes would have it.
    pub fn duration() -> Duration {
        INFREQUENT_WAIT
    }

    /// Longest time that one read of the orders waits for a new record.
    pub fn max_wait(self) -> Duration {
        match self {
            ReadRole::Frequent => FREQUENT_WAIT,
            ReadRole::Infrequent => INFREQUENT_WAIT,
        }
    }

    /// Longest pause after failed reads. Nodes that read frequently must have read again well
    /// within 3 s after an outage, since they notify the others.
    pub fn max_retry_pause(self) -> Duration {
        match self {
            ReadRole::Frequent => FREQUENT_RETRY_MAX,
            ReadRole::Infrequent => INFREQUENT_RETRY_MAX,
        }
    }
}

/// Longest pause after failed reads of the table.
pub fn max_table_retry_pause(members: u32) -> Duration {
    min_speculative_interval(members)
}

/// Longest time for which a read of the table waits for a record.
pub fn max_table_wait(members: u32) -> Duration {
    if members <= ALL_FREQUENT_MAX { TABLE_WAITS.0 } else { TABLE_WAITS.1 }
}

/// Interval between two reads of the table while it changes.
pub fn table_interval(members: u32) -> Duration {
    (TABLE_INTERVAL_PER_MEMBER * members).clamp(TABLE_INTERVAL_BOUNDS.0, TABLE_INTERVAL_BOUNDS.1)
}

/// Shortest interval between two reads of the table, also when a node needs a record at once.
pub fn min_table_interval(members: u32) -> Duration {
    (INTERVAL_PER_MEMBER_MIN * members).clamp(INTERVAL_MIN, INTERVAL_MAX)
}

/// Shortest interval between two reads by a node that only guesses that the table has changed.
pub fn min_speculative_interval(members: u32) -> Duration {
    (SPECULATIVE_INTERVAL_PER_MEMBER * members).clamp(SPECULATIVE_INTERVAL, INTERVAL_MAX)
}
