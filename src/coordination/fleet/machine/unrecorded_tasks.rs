//! Tasks on a machine that are not in the stored records. They are stopped, and then forgotten by the agent.

use std::collections::HashSet;

/// A task on a machine that is not in the stored records.
#[derive(Clone, Debug)]
pub(crate) struct UnrecordedTask {
    /// Job and index, as reported by the agent.
    pub(crate) task: String,
    /// Number of the attempt.
    pub(crate) attempt: u64,
    /// Whether it has exited and uses no resources any more.
    pub(crate) has_exited: bool,
    /// Whether it was on the machine when the agent first showed its present fencing token: then all commands that
    /// could start it again are superseded.
    pub(crate) is_superseded: bool,
}

impl UnrecordedTask {
    /// Returns whether the agent may forget the task. A late copy of a direct start would run a forgotten task again,
    /// perhaps while it runs elsewhere, after its job was cancelled or beyond its team's quota. Even a task that is
    /// done would be on the machine for a moment.
    pub(crate) fn may_be_forgotten(&self) -> bool {
        self.is_superseded
    }
}

/// The unrecorded tasks on one machine.
#[derive(Default)]
pub(crate) struct UnrecordedTasks {
    tasks: Vec<UnrecordedTask>,
    /// The attempts among them that are superseded, by task and number.
    superseded: HashSet<(String, u64)>,
    retained_exited_count: usize,
}

impl UnrecordedTasks {
    /// Returns all unrecorded tasks of the agent's newest message.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &UnrecordedTask> {
        self.tasks.iter()
    }

    /// Returns the number of exited tasks that the agent may not forget yet.
    pub(crate) fn retained_exited_count(&self) -> usize {
        self.retained_exited_count
    }

    /// Returns whether all commands that could start an attempt are known to be superseded.
    pub(crate) fn is_superseded(&self, task: &str, attempt: u64) -> bool {
        self.superseded.contains(&(task.to_owned(), attempt))
    }

    /// Replaces the tasks by those of the agent's newest message.
    pub(crate) fn replace(&mut self, tasks: Vec<UnrecordedTask>) {
        self.retained_exited_count = tasks.iter().filter(|task| task.has_exited && !task.may_be_forgotten()).count();
        let superseded = tasks.iter().filter(|task| task.is_superseded);
        self.superseded = superseded.map(|task| (task.task.clone(), task.attempt)).collect();
        self.tasks = tasks;
    }

    /// Removes all tasks, when the agent has a new incarnation or the machine a new owner.
    pub(crate) fn clear(&mut self) {
        self.tasks.clear();
        self.superseded.clear();
    }
}
