//! The cases. Each returns whether its rule was broken.

use crate::platform::{Record, secs};
use crate::wire::{V, call};
use crate::{Run, Site, Submission, familiealbum, is_of};
use std::collections::BTreeSet;
use std::path::Path;
use std::sync::Arc;

pub type Outcome = Result<(Arc<Record>, bool), String>;

pub fn run(case: &str, record_folder: &Path, root: &Path, folder: &Path) -> Outcome {
    let start = |site: &Site, room| Run::new(site, room, record_folder, root, folder);
    let with_guests =
        Site { teams: vec![("drift", 0.0, 0.0), ("app-holdet", 0.0, 0.0), ("lokalarkiv", 0.0, 0.0)], ..familiealbum() };
    match case {
        "tiny" => tiny(&start(&with_guests, 6)),
        "pipeline" => pipeline(&start(&familiealbum(), 1)),
        "wave" => wave(&start(&familiealbum(), 20)),
        "swarm" => swarm(&start(&with_guests, 6)),
        "burst" => burst(&start(&familiealbum(), 4)),
        _ => Err("no such case".into()),
    }
}

/// Time without any answer after which a job counts as forgotten.
const FORGOTTEN_S: f64 = 75.0;

/// Asks about a job every 5 s at every node, although the load balancer would pass the question to a healthy one, until
/// no question was answered for 75 s or 110 s of the run are over. `meanwhile` is called ten times a second. Returns
/// whether the job counts as forgotten.
fn is_forgotten(run: &Run, id: &str, mut meanwhile: impl FnMut()) -> Result<bool, String> {
    let mut answered_at = run.record.now();
    let mut next_question = 0.0;
    while run.record.now() < answered_at + FORGOTTEN_S && run.record.now() < 112.0 {
        run.sleep(0.1);
        meanwhile();
        if run.record.now() < next_question {
            continue;
        }
        next_question = run.record.now() + 5.0;
        let questions: Vec<_> = (run.nodes.nodes.iter())
            .map(|node| {
                let (label, public, path) = (node.label.clone(), node.public, format!("/api/jobs/{id}"));
                std::thread::spawn(move || (label, call(public, "GET", &path, None, secs(2.0))))
            })
            .collect();
        for question in questions {
            let (label, answer) = question.join().map_err(|_| "a question failed")?;
            let text = match &answer {
                Ok(answer) => format!("{} {}", answer.status, answer.body.json()),
                Err(error) => error.clone(),
            };
            run.record.line(&format!("question about {id} at {label}: {text}"));
            if answer.is_ok_and(|answer| answer.status == 200) {
                answered_at = run.record.now();
            }
        }
    }
    Ok(run.record.now() >= answered_at + FORGOTTEN_S)
}

/// The guest team submits one huge array of tiny tasks. Afterwards no question about any job is answered any more.
fn tiny(run: &Run) -> Outcome {
    run.cloud.add("kasse-stor", "aarhus", false, 3, 0.0);
    run.start_nodes()?;
    run.wait_for_workers(3)?;
    let upload = Submission {
        id: "wk-000001",
        lot: "upload",
        crew: "drift",
        rank: "prod",
        pieces: 2,
        cores: 2.0,
        memory_gb: 7.4,
        bundle: "img-00",
        pull_gb: 1.2,
        driftwood: false,
        expect_s: None,
        due_s: None,
        awaits: Vec::new(),
    };
    accepted(run, &upload)?;
    run.wait("the service to run", 20.0, || run.starts_of(upload.id) == 2)?;
    let (pieces, cores) = if run.trouble { (60_000, 0.001) } else { (600, 0.1) };
    let array = Submission {
        id: "wk-000002",
        lot: "kirkebog",
        crew: "lokalarkiv",
        rank: "low",
        pieces,
        cores,
        memory_gb: 2.0 * cores,
        bundle: "img-02",
        pull_gb: 0.5,
        expect_s: Some(30.0),
        ..upload.clone()
    };
    accepted(run, &array)?;
    let is_forgotten = is_forgotten(run, upload.id, || {})?;
    run.record.line(&format!("{} tasks of {} were started", run.starts_of(array.id), array.id));
    let ends = run.record.ends.lock().unwrap();
    for (at, host, piece, why) in ends.iter().filter(|(_, _, piece, _)| is_of(piece, upload.id)) {
        run.record.line(&format!("at {at:.1} s {piece} left {host}: {why}"));
    }
    Ok((run.record.clone(), is_forgotten))
}

fn accepted(run: &Run, job: &Submission) -> Result<(), String> {
    match run.submit(job.id, &job.job(), &job.body()) {
        Some(200 | 201) => Ok(()),
        other => Err(format!("{} was not accepted: {other:?}", job.id)),
    }
}

/// Three of eight spot machines are taken back in a wave, without notice. A job that is submitted afterwards waits,
/// although machines that fit have room.
fn wave(run: &Run) -> Outcome {
    run.cloud.add("kasse-lille", "aarhus", true, 8, 0.0);
    run.start_nodes()?;
    run.wait_for_workers(8)?;
    let miniature = |id, crew, pieces, cores| Submission {
        id,
        lot: "miniature",
        crew,
        rank: "standard",
        pieces,
        cores,
        memory_gb: 7.5,
        bundle: "img-01",
        pull_gb: 0.9,
        driftwood: true,
        expect_s: Some(400.0),
        due_s: None,
        awaits: Vec::new(),
    };
    let submit = |job: &Submission| accepted(run, job);
    // One task on each machine: four for each team.
    submit(&miniature("wk-000101", "drift", 4, 11.0))?;
    submit(&miniature("wk-000102", "app-holdet", 4, 9.0))?;
    run.wait("the first jobs to run", 20.0, || run.starts_of("wk-000101") == 4 && run.starts_of("wk-000102") == 4)?;
    // Fills the only machine of the team that is not taken back.
    submit(&miniature("wk-000103", "drift", 1, 4.0))?;
    run.wait("the next job to run", 10.0, || run.starts_of("wk-000103") == 1)?;
    let drift: Vec<_> =
        run.cloud.workers().into_iter().filter(|w| w.pieces().iter().any(|piece| is_of(piece, "wk-000101"))).collect();
    if drift.len() != 4 {
        return Err(format!("the first job runs on {} machines", drift.len()));
    }
    if run.trouble {
        for worker in drift.iter().filter(|w| !w.pieces().iter().any(|piece| is_of(piece, "wk-000103"))) {
            run.cloud.take_back(&worker.host);
            run.sleep(0.4);
        }
    }
    run.sleep(6.0);
    submit(&miniature("wk-000104", "drift", 1, 4.0))?;
    let since = run.record.now();
    while run.record.now() < since + 90.0 {
        run.sleep(3.0);
        let with_room = run.cloud.workers().iter().filter(|worker| worker.free_cores() >= 4.0).count();
        let state = run.ask("wk-000104");
        run.record.line(&format!("{with_room} machines that fit have room for wk-000104"));
        if run.starts_of("wk-000104") > 0 {
            run.record
                .line(&format!("wk-000104 started {:.1} s after its submission: {state:?}", run.record.now() - since));
            return Ok((run.record.clone(), false));
        }
        if with_room == 0 {
            return Err("no machine has room any more".into());
        }
    }
    Ok((run.record.clone(), true))
}

/// An array of many small tasks fills a large machine, whose report then exceeds the limit.
fn swarm(run: &Run) -> Outcome {
    run.cloud.add("kasse-stor", "aarhus", false, 3, 0.0);
    run.start_nodes()?;
    run.wait_for_workers(3)?;
    let pieces = if run.trouble { 2000 } else { 800 };
    let job = Submission {
        id: "wk-000201",
        lot: "kirkebog",
        crew: "lokalarkiv",
        rank: "low",
        pieces,
        cores: 0.03,
        memory_gb: 0.1,
        bundle: "img-02",
        pull_gb: 0.2,
        driftwood: false,
        expect_s: Some(30.0),
        due_s: None,
        awaits: Vec::new(),
    };
    accepted(run, &job)?;
    while run.record.now() < 110.0 {
        run.sleep(3.0);
        let starts = run.starts_of("wk-000201");
        let ends = run.record.ends.lock().unwrap();
        let done = ends.iter().filter(|(_, _, _, why)| why == "done").count();
        let lost = ends.len() - done;
        drop(ends);
        run.record.line(&format!(
            "{starts} starts; {done} tasks done, {lost} killed at the end of a lease or with their machine"
        ));
        run.ask("wk-000201");
        if done > 0 {
            return Ok((run.record.clone(), false));
        }
    }
    Ok((run.record.clone(), run.starts_of("wk-000201") > 0))
}

/// Stages of the pipeline, each of two jobs that await both jobs of the stage before.
const STAGES: u64 = 28;
/// The platform's limit of a controller's memory, and the time after which it starts a controller again.
const MEMORY_MB: f64 = 136.0;
const BACK_AFTER_S: f64 = 6.0;
/// Users submit the jobs of a pipeline one after another, and its last job with a deadline. Afterwards no question
/// about any job is answered any more.
fn pipeline(run: &Run) -> Outcome {
    run.cloud.add("kasse-lille", "aarhus", false, 1, 0.0);
    run.start_nodes()?;
    let id = |n: u64| format!("wk-{:06}", 300 + n);
    for n in 1..=2 * STAGES + 1 {
        let is_last = n > 2 * STAGES;
        let stage = (n - 1) / 2;
        let awaits: Vec<String> = if stage == 0 { Vec::new() } else { vec![id(2 * stage - 1), id(2 * stage)] };
        // The first job of each stage takes longer than the second, in each stage twice as much as in the one before.
        let longer_s = if n % 2 == 1 && !is_last { 0.00001 * 2f64.powi(stage as i32 + 1) } else { 0.0 };
        let id = id(n);
        let job = Submission {
            id: &id,
            lot: "ansigter",
            crew: "drift",
            rank: "standard",
            pieces: 1,
            cores: 2.0,
            memory_gb: 6.4,
            bundle: "img-03",
            pull_gb: 1.0,
            driftwood: false,
            expect_s: Some(300.0 + longer_s),
            due_s: (is_last && run.trouble).then_some(20_000.0),
            awaits,
        };
        if is_last {
            // Its answer is not waited for: the user repeats it as long as it gets none.
            run.world.jobs.lock().unwrap().insert(id.clone(), job.job());
            let answer = run.users.call("POST", "/api/jobs", Some(&job.body()), 5.0);
            run.record.line(&format!("submission of {id}: {:?}", answer.map(|answer| answer.status)));
            continue;
        }
        accepted(run, &job)?;
    }
    let mut down_since = vec![None; run.nodes.nodes.len()];
    let platform = || {
        for (n, down) in down_since.iter_mut().enumerate() {
            let memory = run.nodes.memory_mb(n);
            match *down {
                None if memory > MEMORY_MB => {
                    run.nodes.kill(n, &format!("{memory:.0} MB are over its limit of {MEMORY_MB} MB"));
                    *down = Some(run.record.now());
                }
                None if run.nodes.has_ended(n) => {
                    run.nodes.kill(n, "it had ended by itself");
                    *down = Some(run.record.now());
                }
                Some(since) if run.record.now() > since + BACK_AFTER_S => {
                    run.nodes.start(n);
                    *down = None;
                }
                _ => {}
            }
        }
    };
    let is_forgotten = is_forgotten(run, &id(1), platform)?;
    Ok((run.record.clone(), is_forgotten))
}

/// Services of one team come four times as often, and most are cancelled. Batch work of the other team, submitted
/// afterwards, waits, although every machine has room.
fn burst(run: &Run) -> Outcome {
    run.cloud.add("kasse-lille", "aarhus", false, 4, 0.0);
    run.start_nodes()?;
    run.wait_for_workers(4)?;
    let count = if run.trouble { 32 } else { 8 };
    let ids: Vec<String> = (0..count).map(|n| format!("wk-{:06}", 601 + n)).collect();
    let one = Submission {
        id: "",
        lot: "upload",
        crew: "drift",
        rank: "prod",
        pieces: 1,
        cores: 2.0,
        memory_gb: 7.4,
        bundle: "img-06",
        pull_gb: 1.2,
        driftwood: false,
        expect_s: None,
        due_s: None,
        awaits: Vec::new(),
    };
    // Users are independent of each other.
    let submit = |id: &String| accepted(run, &Submission { id, ..one.clone() });
    let results: Vec<Result<(), String>> = std::thread::scope(|scope| {
        let users: Vec<_> = ids.iter().map(|id| scope.spawn(move || submit(id))).collect();
        users.into_iter().map(|user| user.join().unwrap_or(Err("a user failed".into()))).collect()
    });
    results.into_iter().collect::<Result<Vec<()>, String>>()?;
    run.wait("the services to run", 40.0, || ids.iter().all(|id| run.starts_of(id) > 0))?;
    run.sleep(2.0);
    // One service stays on each machine that has any.
    let mut stays = BTreeSet::new();
    for worker in run.cloud.workers() {
        stays.extend(worker.pieces().first().and_then(|piece| piece.rsplit_once('/')).map(|(id, _)| id.to_string()));
    }
    let cancel = |id: &String| {
        while run.record.now() < 100.0 {
            let answer = run.users.call("POST", &format!("/api/jobs/{id}/abort"), Some(&V::Null), 5.0);
            if answer.as_ref().is_ok_and(|answer| answer.status == 200) {
                return;
            }
            run.sleep(1.0);
        }
    };
    std::thread::scope(|scope| {
        for id in ids.iter().filter(|id| !stays.contains(*id)) {
            scope.spawn(move || cancel(id));
        }
    });
    run.record.line(&format!("{count} services were submitted, all but {stays:?} are cancelled"));
    let left = || run.cloud.workers().iter().map(|worker| worker.pieces().len()).sum::<usize>();
    run.wait("the cancelled services to end", 20.0, || left() == stays.len())?;
    let batch = Submission {
        id: "wk-000700",
        lot: "miniature",
        crew: "app-holdet",
        rank: "standard",
        pieces: 3,
        memory_gb: 7.5,
        bundle: "img-01",
        pull_gb: 0.9,
        expect_s: Some(30.0),
        ..one.clone()
    };
    accepted(run, &batch)?;
    let since = run.record.now();
    while run.record.now() < since + 90.0 {
        run.sleep(3.0);
        run.ask(batch.id);
        let free: Vec<f64> = run.cloud.workers().iter().map(|worker| worker.free_cores()).collect();
        run.record.line(&format!("free cores of the machines: {free:?}; {} tasks started", run.starts_of(batch.id)));
        if run.starts_of(batch.id) > 0 {
            return Ok((run.record.clone(), false));
        }
        if free.iter().all(|cores| *cores < batch.cores) {
            return Err("no machine has room any more".into());
        }
    }
    Ok((run.record.clone(), true))
}
