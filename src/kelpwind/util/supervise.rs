//! Tasks that run for as long as the process does.
//!
//! The runtime ends a task that panics and goes on with the others. A node without one of its loops
//! would look alive and, for example, grant no keys any more. Ending the process instead would repeat
//! itself at each start if what it reads makes it panic. So the loop alone starts again.

use std::future::Future;
use std::time::Duration;

use tokio::task::{JoinHandle, spawn_local};
use tokio::time::sleep;

/// Pause before a task that has panicked starts again.
const RESTART_PAUSE: Duration = Duration::from_secs(1);

/// Runs a task on the local set, and starts it again after a pause whenever it panics. Calls
/// `on_panic` each time.
pub fn supervise<F>(
    name: &'static str,
    task: impl Fn() -> F + 'static,
    on_panic: impl Fn() + 'static,
) -> JoinHandle<()>
where
    F: Future<Output = ()> + 'static,
{
    spawn_local(async move {
        while let Err(e) = spawn_local(task()).await {
            if !e.is_panic() {
                return;
            }
            on_panic();
            let pause_ms = RESTART_PAUSE.as_millis() as u64;
            spdlog::critical!("a task of the node starts again", kv: { name, pause_ms });
            sleep(RESTART_PAUSE).await;
        }
    })
}
