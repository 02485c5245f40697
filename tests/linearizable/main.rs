//! What one controller may answer, against the store's records.
//!
//! [`controller`] drives one controller by hand; the sequences here are minimal, each in the order that once led to an answer
//! older than what another controller had told. [`histories`] compares answers with a plain model on random histories.

mod controller;
mod histories;

use burlhatch::coordination::{Input, ReadOutcome, UserAnswer, UserRequest};
use burlhatch::protocol::store::{Changes, Event};
use burlhatch::protocol::user::{JobSpec, JobState};
use burlhatch::storage::schema::{DependencyListParts, JobBatchMember, JobRecord, Key, to_value};
use burlhatch::types::{JobId, Micros};
use controller::{ControllerHarness, FIRST, batch, cancelled, id, item, put, spec, written};

/// The batch of a submission is carried out at once and its answer comes late. Meanwhile another controller sees the
/// job, its user calls it off there and is told so, and then the submission is repeated here. The commit says how
/// things stood before that, and must not answer the repeat.
#[test]
fn a_commit_answers_nobody_who_asked_after_it_was_sent() {
    let mut controller = ControllerHarness::started(Vec::new());
    let first = controller.submit(&id(1), spec(&[]));
    let (ticket, _) = controller.take_batch();
    // Carried out at 11. Elsewhere: cancelled at 12, and told.
    let repeat = controller.submit(&id(1), spec(&[]));
    controller.commit(ticket, 11);
    assert_eq!(controller.told(first), Some(&UserAnswer::Accepted(id(1))));
    assert_eq!(controller.told(repeat), None, "answered with what the commit says");
    controller.answer_changes(|fresh| fresh, 12, vec![cancelled(&id(1), 12)]);
    controller.pass(500);
    assert_eq!(controller.state_told(repeat), Some(JobState::Cancelled));
}

/// As before, and the watch has brought the cancellation before the commit's answer comes: the controller that itself
/// tells one user that the job is cancelled must not tell another that it is queued.
#[test]
fn a_late_commit_does_not_undo_what_the_watch_brought() {
    let mut controller = ControllerHarness::started(Vec::new());
    let first = controller.submit(&id(1), spec(&[]));
    let (ticket, txn) = controller.take_batch();
    controller.answer_changes(|fresh| !fresh, 12, vec![written(&txn, 11), cancelled(&id(1), 12)]);
    let question = controller.ask(UserRequest::Get(id(1)));
    controller.pass(200);
    controller.commit(ticket, 11);
    controller.pass(500);
    assert_eq!(controller.state_told(question), Some(JobState::Cancelled));
    assert_eq!(controller.state_told(first), Some(JobState::Cancelled));
}

/// A job that another needs was cancelled where this controller's watch has not got yet, and whoever asked there was
/// told that both are. The other's submission is repeated here: its batch can be carried out, as nothing is written
/// down about it, but says nothing of what it needs.
#[test]
fn a_commit_tells_nothing_of_the_jobs_that_one_needs() {
    let known = batch(&[(id(1), spec(&[]))]);
    let mut controller = ControllerHarness::started(vec![item(Key::JobBatch("1".into()), known, 5)]);
    let repeat = controller.submit(&id(2), spec(&[id(1)]));
    let (ticket, txn) = controller.take_batch();
    controller.commit(ticket, 13);
    assert_eq!(controller.told(repeat), None, "answered with what the commit says");
    controller.answer_changes(|_| true, 13, vec![cancelled(&id(1), 11), written(&txn, 13)]);
    controller.pass(500);
    assert_eq!(controller.state_told(repeat), Some(JobState::Cancelled));
}

/// The same submission was taken by two controllers, with something else in it: the earlier batch counts, for the one
/// that wrote the later, too, though it hears of its own commit first. By the later alone the job would have fallen.
#[test]
fn an_own_batch_does_not_count_before_an_earlier_one_is_read() {
    let known = batch(&[(id(1), spec(&[])), (id(2), spec(&[]))]);
    let mut controller = ControllerHarness::started(vec![item(Key::JobBatch("1".into()), known, 5)]);
    let repeat = controller.submit(&id(3), spec(&[id(2)]));
    let (ticket, txn) = controller.take_batch();
    controller.commit(ticket, 13);
    let earlier = put(Key::JobBatch("2".into()), batch(&[(id(3), spec(&[id(1)]))]), 11);
    controller.answer_changes(|_| true, 13, vec![earlier, cancelled(&id(2), 12), written(&txn, 13)]);
    controller.pass(500);
    assert_eq!(controller.state_told(repeat), Some(JobState::Queued), "its user did not cancel it");
}

/// A submission that no value takes, under the name of a job that others have taken: its state is told, not that the
/// submission is malformed.
#[test]
fn a_submission_too_large_to_be_written_down_may_repeat_a_known_job() {
    let mut controller = ControllerHarness::started(Vec::new());
    let mut large = spec(&[]);
    large.image = "x".repeat(5000);
    let repeat = controller.submit(&id(1), large);
    controller.answer_changes(
        |fresh| fresh,
        11,
        vec![put(Key::JobBatch("1".into()), batch(&[(id(1), spec(&[]))]), 11)],
    );
    assert_eq!(controller.state_told(repeat), Some(JobState::Queued));
}

/// The service no longer has what the watch asks for, and the controller reads everything again while the answer to
/// an earlier read is on its way. That one answers no question that came after it.
#[test]
fn an_answer_to_a_read_of_before_counts_for_no_later_one() {
    let known = batch(&[(id(1), spec(&[]))]);
    let mut controller = ControllerHarness::started(vec![item(Key::JobBatch("1".into()), known.clone(), 5)]);
    controller.ask(UserRequest::Get(id(1)));
    let early = controller.take_changes(|fresh| fresh);
    let watch = controller.take_changes(|fresh| !fresh);
    controller.feed(Input::Changes { ticket: watch, outcome: ReadOutcome::Compacted });
    controller.pass(100);
    controller.answer_page(vec![item(Key::JobBatch("1".into()), known, 5)], false);
    controller.answer_changes(|_| true, FIRST, Vec::new());
    controller.settle();
    // Elsewhere the job is cancelled at 12 and its user told so.
    let question = controller.ask(UserRequest::Get(id(1)));
    controller.pass(300);
    controller.feed(Input::Changes {
        ticket: early,
        outcome: ReadOutcome::Fetched(Changes { revision: 11, events: Vec::new() }),
    });
    controller.pass(100);
    assert_eq!(controller.told(question), None, "answered by a read of before the question");
    controller.answer_changes(|fresh| fresh, 12, vec![cancelled(&id(1), 12)]);
    controller.pass(300);
    assert_eq!(controller.state_told(question), Some(JobState::Cancelled));
}

/// Pages are read at different times. A job's list of dependencies is written before the job and its page is read
/// before as well: the job then stands in the records without its list until what changed meanwhile is read.
#[test]
fn nothing_is_known_before_the_changes_since_the_first_page_are_read() {
    let mut controller = ControllerHarness::new();
    let mut record = JobRecord {
        accepted_at: Micros(1),
        dependency_list_parts: Some(DependencyListParts { name: "7".into(), count: 1 }),
        spec: spec(&[]),
    };
    record.spec.depends_on.clear();
    let member = JobBatchMember { id: id(2), record };
    controller.answer_page(vec![item(Key::JobBatch("1".into()), batch(&[(id(1), spec(&[]))]), 5)], true);
    controller.answer_page(vec![item(Key::JobBatch("2".into()), to_value(&vec![member]), 12)], false);
    assert!(!controller.controller.is_ready(), "ready with pages of different times");
    let list = put(Key::DependencyListPart("7".into(), 0), to_value(&vec![id(1)]), 11);
    controller.answer_changes(|_| true, 13, vec![list, cancelled(&id(1), 13)]);
    assert!(controller.controller.is_ready());
    controller.settle();
    let question = controller.ask(UserRequest::Get(id(2)));
    controller.pass(300);
    assert_eq!(controller.state_told(question), Some(JobState::Cancelled), "it fell with the job that it awaits");
}

/// The answer to a controller's own commit comes after the watch has shown that what it wrote is gone again: the
/// record must not come back. Here it is the list of a submission that depends on more jobs than one value can name.
#[test]
fn a_late_commit_brings_no_deleted_record_back() {
    let many: Vec<JobId> = (1..=400).map(id).collect();
    let jobs: Vec<(JobId, JobSpec)> = many.iter().map(|id| (id.clone(), spec(&[]))).collect();
    let mut controller = ControllerHarness::started(vec![item(Key::JobBatch("1".into()), batch(&jobs), 5)]);
    controller.submit(&id(500), spec(&many));
    let (ticket, txn) = controller.take_txn("/awaits/");
    let put = written(&txn, 11);
    let cleared = Event { put: None, delete: put.put.clone(), value: None, version: 13 };
    controller.answer_changes(|fresh| !fresh, 13, vec![put, cleared]);
    controller.commit(ticket, 11);
    assert!(controller.controller.replica().dependency_list_parts.is_empty(), "it is in the replica again");
}
