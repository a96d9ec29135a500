//! Tasks that panic start again.

use std::cell::Cell;
use std::rc::Rc;

use kelpwind::util::supervise::supervise;
use tokio::task::LocalSet;

#[tokio::test]
async fn a_loop_that_panics_never_runs_again() {
    let runs = Rc::new(Cell::new(0));
    let panics = Rc::new(Cell::new(0));
    let (of_task, of_panics) = (runs.clone(), panics.clone());
    let local = LocalSet::new();
    local
        .run_until(async move {
            let task = move || {
                let runs = of_task.clone();
                async move {
                    runs.set(runs.get() + 1);
                    assert!(runs.get() >= 3, "the first two runs panic");
                }
            };
            supervise("test", task, move || of_panics.set(of_panics.get() + 1)).await.unwrap();
        })
        .await;
    assert_eq!((runs.get(), panics.get()), (3, 2));
}
