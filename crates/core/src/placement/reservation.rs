//! Reservation of capacity for urgent jobs.

use super::pass::PlacementPass;
use crate::float_order::compare_f64;
use crate::machine::Resources;
use corkfield_wire::JobId;

impl PlacementPass<'_> {
    /// Reserves capacity for the waiting tasks of an urgent job, on machines where the capacity is
    /// free or becomes free when tasks of lower priority end. Without a reservation, smaller tasks
    /// of lower priority would use the freed capacity first. Nothing is reserved for tasks beyond
    /// the team's limit: they can't use it, and other jobs would wait beside it.
    pub(super) fn reserve_for_urgent(&mut self, id: &JobId) {
        let Some(job) = self.cluster.jobs.get(id) else { return };
        let mut unreserved_tasks = self.tasks_within_limit(job);
        if !job.is_urgent() || job.spec().cpus <= 0.0 || unreserved_tasks == 0 {
            return;
        }
        let need = Resources::per_task(job.spec());
        self.steps += self.capacity.reservable.len() as u64;
        let mut slots = self.capacity.task_slots(job.spec(), &self.cluster.machines);
        slots.sort_by(|left, right| compare_f64(right.free_cpus, left.free_cpus));
        for slot in slots {
            let tasks = slot.tasks.min(unreserved_tasks);
            self.capacity.machines[slot.position].reserved.add(&need.multiplied_by(tasks));
            unreserved_tasks -= tasks;
            if unreserved_tasks == 0 {
                return;
            }
        }
    }
}
