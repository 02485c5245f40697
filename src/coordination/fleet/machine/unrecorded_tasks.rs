//! Tasks on a machine that the stored records don't know: they are stopped, and then forgotten by the agent.

/// A task on the machine that the stored records know nothing of.
#[derive(Clone, Debug)]
pub(crate) struct UnrecordedTask {
    /// Job and index, as the agent names it.
    pub(crate) task: String,
    /// Number of the attempt.
    pub(crate) attempt: u64,
    /// It takes no resources any more.
    pub(crate) has_exited: bool,
    /// It was there when the agent first showed its present fencing token: all commands that could start it again are
    /// superseded.
    pub(crate) is_superseded: bool,
}

impl UnrecordedTask {
    /// Whether the agent may forget it. A late copy of a direct start would run a forgotten task again, perhaps while it
    /// runs elsewhere, after its job was cancelled or beyond its team's quota. Even one that is done would be on the
    /// machine for a moment.
    pub(crate) fn may_be_forgotten(&self) -> bool {
        self.is_superseded
    }
}

/// The tasks on one machine that the stored records know nothing of.
#[derive(Default)]
pub(crate) struct UnrecordedTasks {
    tasks: Vec<UnrecordedTask>,
    retained_exited_count: usize,
}

impl UnrecordedTasks {
    /// All of them, as in the agent's newest message.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &UnrecordedTask> {
        self.tasks.iter()
    }

    /// Exited ones that the agent may not forget yet.
    pub(crate) fn retained_exited_count(&self) -> usize {
        self.retained_exited_count
    }

    /// Whether all commands that could start that attempt are known to be superseded.
    pub(crate) fn is_superseded(&self, task: &str, attempt: u64) -> bool {
        self.tasks.iter().any(|known| known.is_superseded && known.attempt == attempt && known.task == task)
    }

    /// Takes those of the agent's newest message.
    pub(crate) fn replace(&mut self, tasks: Vec<UnrecordedTask>) {
        self.retained_exited_count = tasks.iter().filter(|task| task.has_exited && !task.may_be_forgotten()).count();
        self.tasks = tasks;
    }

    /// The agent has a new incarnation, or the machine a new owner.
    pub(crate) fn clear(&mut self) {
        self.tasks.clear();
    }
}
