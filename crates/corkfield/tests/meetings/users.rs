//! What users ask meets the end of a job.

use crate::world::{secs, spec, story, NODES};
use corkfield_wire::user::PATH_CANCEL;

#[test]
fn a_cancellation_a_question_or_a_repeat_meets_the_end_of_the_last_task() {
    for planner_ends in [false, true] {
        story(4, |world| async move {
            let mut asking = Vec::new();
            for number in 0..24u32 {
                let job = spec(number + 1, 1 + number % 3);
                world.submit(&job, 2.0).await;
                // From before the end of the last task to after it was stored.
                let wait = 1.9 + 0.06 * f64::from(number);
                let asker = world.clone();
                asking.push(tokio::task::spawn_local(async move {
                    secs(wait).await;
                    let n = number as usize % NODES.len();
                    let (id, verb) = (&job.id, (number % 2 == 0).then_some(PATH_CANCEL));
                    for round in 0..12 {
                        let at = (n + round) % NODES.len();
                        tokio::join!(
                            asker.ask_about(at, id, verb),
                            asker.ask_about((at + 1) % NODES.len(), id, None),
                            asker.submit_again((at + 2) % NODES.len(), &job),
                        );
                        secs(0.15).await;
                    }
                    let status = asker.status(id).await.expect("known");
                    if verb.is_some() {
                        assert!(status.is_final(), "{id} is {status:?}");
                    } else {
                        asker.until_done(id, 60.0).await;
                    }
                }));
                secs(0.3).await;
                if planner_ends && number == 12 {
                    let planner = world.planner_node();
                    world.restart(planner, 0.2).await;
                }
            }
            for asked in asking {
                asked.await.expect("all was answered");
            }
        });
    }
}
