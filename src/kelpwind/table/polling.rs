//! How often nodes read the store: by the number of members, since each call of each node is paid for,
//! and what one writes all read.
//!
//! Two bounds stand against reading rarely. Orders must be in force 2 s after the store has acknowledged
//! them, and as soon after an outage in which reads were left without an answer; members that join must
//! get work within seconds. So some nodes read the orders often and tell the others what they have read
//! ([`ReadRole`]), and the table is read each few seconds at least. Pure.

use std::time::Duration;

/// Longest time that one read of the orders waits, at nodes that read often. With the time that an answer
/// may take beyond it, a read that the store left without an answer ends 2.2 s after it was sent, so it
/// has been made anew when hosts count as in contact again, 3 s after an outage.
const ORDERS_WAIT: Duration = Duration::from_millis(1200);
/// The same at all other nodes.
const ORDERS_WAIT_LONG: Duration = Duration::from_secs(15);
/// Nodes that read the orders often, on average: that there are fewer than three of them at a time happens
/// once in some 2,000 drawings.
const READERS: f64 = 12.0;
/// Members up to which all read often: what would be spared is little.
const ALL_READ: u32 = 24;
/// Longest pause after failed reads of the orders, at nodes that read often.
const RETRY_OFTEN: Duration = Duration::from_millis(400);
/// The same at all other nodes.
const RETRY_SELDOM: Duration = Duration::from_millis(1500);
/// Least and longest time between two reads of a table that moves.
const TABLE: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(4));
/// Time between two reads of the table for each member.
const TABLE_EACH: Duration = Duration::from_millis(45);
/// Least time between two reads of the table, also in a hurry.
const GATHER: Duration = Duration::from_millis(25);
/// The same for each member: when many start at once, what they write is read in few calls.
const GATHER_EACH: Duration = Duration::from_millis(2);
/// Least time between two reads of those who only guess that the table has moved.
const GUESS: Duration = Duration::from_millis(400);
/// The same for each member.
const GUESS_EACH: Duration = Duration::from_millis(20);
/// Longest pause of the kind that grows with the number of members.
const PAUSE_MAX: Duration = Duration::from_secs(2);

/// How a node reads the orders for a while.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadRole {
    /// Often; it tells the others what it has read.
    Frequent,
    /// With reads that wait long, and again when it is told of more.
    Infrequent,
}

impl ReadRole {
    /// The role among `members`; `draw` is a random number from 0 to 1.
    pub fn assign(members: u32, draw: f64) -> ReadRole {
        let often = members <= ALL_READ || draw * f64::from(members) < READERS;
        if often { ReadRole::Frequent } else { ReadRole::Infrequent }
    }

    /// For how long a role is kept: as long as the other one's reads, so that the number of those who
    /// read often stays what was drawn.
    pub fn duration() -> Duration {
        ORDERS_WAIT_LONG
    }

    /// Longest time that a read of the orders waits.
    pub fn max_wait(self) -> Duration {
        match self {
            ReadRole::Frequent => ORDERS_WAIT,
            ReadRole::Infrequent => ORDERS_WAIT_LONG,
        }
    }

    /// Longest pause after reads that failed: those who read often must have read again well within 3 s
    /// of an outage's end; they tell the others.
    pub fn max_retry_pause(self) -> Duration {
        match self {
            ReadRole::Frequent => RETRY_OFTEN,
            ReadRole::Infrequent => RETRY_SELDOM,
        }
    }
}

/// Longest pause of a reader of the table after reads that failed.
pub fn max_table_retry_pause(members: u32) -> Duration {
    min_speculative_interval(members)
}

/// Time between two reads of a table that moves.
pub fn table_interval(members: u32) -> Duration {
    (TABLE_EACH * members).clamp(TABLE.0, TABLE.1)
}

/// Least time between two reads of the table, also in a hurry.
pub fn min_table_interval(members: u32) -> Duration {
    (GATHER_EACH * members).clamp(GATHER, PAUSE_MAX)
}

/// Least time between two reads of those who only guess that the table has moved.
pub fn min_speculative_interval(members: u32) -> Duration {
    (GUESS_EACH * members).clamp(GUESS, PAUSE_MAX)
}
