//! An independent check: what endpoints really ran against what callers were
//! told, while faults come one after the other from a seed.

mod support;

use std::collections::HashMap;
use std::time::Duration;

use http::{Method, StatusCode};
use papayayard::host;
use papayayard_stand_in::ledger::Entry;
use papayayard_stand_in::{engine, platform, service};
use papayayard_wire::refusal::{self, Ran};
use papayayard_wire::{header, id};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;
use support::{Bed, Reply};

const ENGINES: usize = 5;
const SERVICES: usize = 3;
const CALLERS: u64 = 12;
const REQUESTS: u64 = 10;
const TOKENS: u64 = 30;

/// What a caller was told of one request.
struct Told {
    request: Option<id::Request>,
    body: String,
    outcome: Outcome,
}

#[derive(Debug, PartialEq, Eq)]
enum Outcome {
    Complete,
    Refused(refusal::Error),
    /// The stream ended with an explicit error.
    Ended,
    /// The exchange broke.
    Broken,
}

fn outcome(reply: &Reply, is_whole: bool) -> Outcome {
    if reply.status == StatusCode::OK {
        return if is_whole {
            Outcome::Complete
        } else {
            Outcome::Ended
        };
    }
    Outcome::Refused(reply.refusal().error)
}

fn told(reply: Option<Reply>, body: String, is_whole: bool) -> Told {
    let Some(reply) = reply else {
        return Told {
            request: None,
            body,
            outcome: Outcome::Broken,
        };
    };
    let id = reply.headers.get(header::REQUEST_ID);
    Told {
        request: id.and_then(|id| id.to_str().ok()).map(id::Request::from),
        outcome: outcome(&reply, is_whole),
        body,
    }
}

/// Asks for completions one after the other and checks each whole stream.
async fn ask(host: &host::Running, caller: u64) -> Vec<Told> {
    let mut all = Vec::new();
    for number in 0..REQUESTS {
        let prompt = format!("caller {caller} asks {number}");
        let reply = support::complete(host, &prompt, TOKENS).await;
        let mut is_whole = false;
        if let Some(reply) = &reply
            && reply.status == StatusCode::OK
        {
            is_whole = reply.text().ends_with("data: [DONE]\n\n");
            if is_whole {
                let text = reply.complete_stream();
                assert_eq!(text, support::expected(&prompt, TOKENS), "{prompt}");
            } else {
                assert!(reply.text().contains("\"error\""), "{}", reply.text());
            }
        }
        all.push(told(reply, prompt, is_whole));
    }
    all
}

/// Books one lesson after the other, each once.
async fn book(host: &host::Running, caller: u64) -> Vec<Told> {
    let mut all = Vec::new();
    for number in 0..REQUESTS {
        let body = format!("caller {caller} books {number}");
        let reply = support::service(host, Method::POST, "/bookings", None, &body).await;
        all.push(told(reply, body, true));
    }
    all
}

/// Books one lesson after the other under a key, each through both hosts at
/// once, as a caller does that sends again before its answer has come.
async fn book_by_key(hosts: &[host::Running; 2], caller: u64) -> Vec<[Told; 2]> {
    let mut all = Vec::new();
    for number in 0..REQUESTS {
        let body = format!("caller {caller} books {number} by key");
        let key = format!("key-{caller}-{number}");
        let send = |host| support::service(host, Method::POST, "/bookings", Some(&key), &body);
        let (first, second) = tokio::join!(send(&hosts[0]), send(&hosts[1]));
        if let (Some(first), Some(second)) = (&first, &second)
            && first.status == StatusCode::OK
            && second.status == StatusCode::OK
        {
            assert_eq!(first.body, second.body, "two answers to {key}");
        }
        all.push([first, second].map(|reply| told(reply, body.clone(), true)));
    }
    all
}

/// Brings about one fault after the other.
async fn disturb(bed: &Bed, seed: u64) {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut ticks = tokio::time::interval(Duration::from_millis(60));
    loop {
        ticks.tick().await;
        let engine = &bed.engines[random.random_range(0..ENGINES)];
        engine.fault(match random.random_range(0..6) {
            0 => engine::Fault::Crash { down_ms: 200 },
            1 => engine::Fault::CutStreams {
                count: 2,
                after_tokens: random.random_range(0..TOKENS),
            },
            2 => engine::Fault::LoseAnswers { count: 1 },
            3 => engine::Fault::WrongIds { count: 1 },
            4 => engine::Fault::Refuse,
            _ => engine::Fault::Clear,
        });
        bed.platform.fault(match random.random_range(0..6) {
            0 => platform::Fault::Down,
            1 => platform::Fault::LoseAppends { count: 1 },
            2 => platform::Fault::Slow { delay_ms: 30 },
            _ => platform::Fault::Clear,
        });
        let service = &bed.services[random.random_range(0..SERVICES)];
        service.fault(match random.random_range(0..5) {
            0 => service::Fault::Crash { down_ms: 100 },
            1 => service::Fault::LoseAnswers { count: 1 },
            2 => service::Fault::WrongIds { count: 1 },
            3 => service::Fault::Refuse,
            _ => service::Fault::Clear,
        });
    }
}

fn runs<'a>(ledger: &'a [Entry], told: &'a Told) -> impl Iterator<Item = &'a Entry> {
    let same = |entry: &&Entry| told.request.is_some() && entry.request == told.request;
    ledger.iter().filter(same)
}

#[rstest]
#[case::first(1)]
#[case::second(2)]
#[case::third(3)]
#[tokio::test]
async fn callers_are_told_the_truth(#[case] seed: u64) {
    let bed = Bed::with(ENGINES, SERVICES, |options| options.time_scale = 5.0).await;
    bed.publish(0, &support::document("v1", 5)).await;
    let hosts = [
        bed.ready_host("entry-1").await,
        bed.ready_host("entry-2").await,
    ];
    let work = async {
        let callers = (0..CALLERS).map(|caller| {
            let host = &hosts[usize::try_from(caller % 2).unwrap_or(0)];
            async move { tokio::join!(ask(host, caller), book(host, caller)) }
        });
        let keyed = (0..CALLERS).map(|caller| book_by_key(&hosts, caller));
        tokio::join!(
            futures_util::future::join_all(callers),
            futures_util::future::join_all(keyed),
        )
    };
    let (results, keyed) = tokio::select! {
        results = work => results,
        () = disturb(&bed, seed) => unreachable!("faults go on"),
    };
    let (streams, bookings): (Vec<Vec<Told>>, Vec<Vec<Told>>) = results.into_iter().unzip();

    let ledger = bed.engine_ledger();
    for told in streams.iter().flatten() {
        let ran = runs(&ledger, told).count();
        if let Outcome::Refused(error) = &told.outcome {
            let is_true = error.ran != Ran::No || ran == 0;
            assert!(is_true, "seed {seed}: {error:?} of {} ran", told.body);
        }
        let is_heard = told.outcome != Outcome::Broken;
        assert!(is_heard, "seed {seed}: {} broke", told.body);
    }
    let ledger = bed.service_ledger();
    let mut counts: HashMap<_, u32> = HashMap::new();
    for entry in &ledger {
        *counts.entry(entry.digest).or_default() += 1;
    }
    let most = counts.values().max().copied().unwrap_or_default();
    assert_eq!(most, 1, "seed {seed}: a booking ran twice");
    for told in bookings.iter().flatten() {
        let ran = runs(&ledger, told).count();
        match &told.outcome {
            Outcome::Complete => assert_eq!(ran, 1, "seed {seed}: {}", told.body),
            Outcome::Refused(error) if error.ran == Ran::No => {
                assert_eq!(ran, 0, "seed {seed}: {error:?} of {}", told.body);
            }
            _ => {}
        }
    }
    let mut booked = 0;
    for pair in keyed.iter().flatten() {
        let ran: usize = pair.iter().map(|told| runs(&ledger, told).count()).sum();
        let complete = pair.iter().any(|told| told.outcome == Outcome::Complete);
        let not_run =
            |told: &Told| matches!(&told.outcome, Outcome::Refused(error) if error.ran == Ran::No);
        assert!(!complete || ran == 1, "seed {seed}: {}", pair[0].body);
        assert!(
            !pair.iter().all(not_run) || ran == 0,
            "seed {seed}: {}",
            pair[0].body
        );
        booked += usize::from(complete);
    }
    assert!(booked > 0, "seed {seed}: nothing was booked by key");
    let all = streams.iter().flatten();
    let whole = all.filter(|told| told.outcome == Outcome::Complete).count();
    assert!(whole > 0, "seed {seed}: nothing was answered");
}
