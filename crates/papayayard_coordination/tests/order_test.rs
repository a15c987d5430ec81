//! Orders to endpoints that check the fencing number and to endpoints that ignore it.

use std::time::Duration;

use papayayard_coordination::order::{self, Observation, Reconciler, Target};
use papayayard_wire::endpoint::{Goal, Order, Report, State};
use papayayard_wire::{directory, id};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use rstest::rstest;

const LOAD: Duration = Duration::from_millis(1_300);
const TICK: Duration = Duration::from_millis(250);

/// Simulated endpoint, which takes [`LOAD`] to load a version.
struct Endpoint {
    report: Report,
    plan: directory::State,
    is_fencing: bool,
    fence: id::Fence,
    load: Option<(id::Version, Duration)>,
}

impl Endpoint {
    fn new(index: usize, is_fencing: bool) -> Self {
        let report = Report {
            endpoint: id::Endpoint::from(format!("llm-{index}")),
            incarnation: id::Incarnation(1),
            state: State::Ready,
            model: id::Model::from("m"),
            version: id::Version::from("v1"),
            running: 0,
            queued: 0,
            pending_tokens: 0,
            slots: 8,
            prefill_rate: 1,
            cache_blocks: 1,
            sequence: 0,
            age_ms: 0,
        };
        Self {
            report,
            plan: directory::State::Live,
            is_fencing,
            fence: id::Fence(0),
            load: None,
        }
    }

    fn accept(&mut self, order: &Order, now: Duration) -> bool {
        if self.is_fencing && order.fence < self.fence {
            return false;
        }
        self.fence = self.fence.max(order.fence);
        match &order.goal {
            Goal::Drain => {
                self.load = None;
                self.report.state = State::Draining;
            }
            Goal::Load { version, .. } => {
                self.load = Some((version.clone(), now + LOAD));
                self.report.state = State::Loading;
            }
        }
        true
    }

    fn run(&mut self, now: Duration) {
        if let Some((version, _)) = self.load.take_if(|(_, until)| now >= *until) {
            self.report.version = version;
            self.report.state = State::Ready;
        }
    }

    fn crash(&mut self) {
        self.report.incarnation.0 += 1;
        self.report.state = State::Ready;
        self.fence = id::Fence(0);
        self.load = None;
    }
}

fn target(version: &str, loads_at_once: u32) -> Target {
    Target {
        model: id::Model::from("m"),
        version: id::Version::from(version),
        loads_at_once,
    }
}

fn reconcile(
    reconciler: &mut Reconciler,
    endpoints: &[Endpoint],
    target: &Target,
    fence: u64,
    now: Duration,
) -> Vec<order::Dispatch> {
    let observations: Vec<Observation<'_>> = endpoints
        .iter()
        .map(|endpoint| Observation {
            endpoint: &endpoint.report.endpoint,
            plan: endpoint.plan,
            report: Some(&endpoint.report),
        })
        .collect();
    reconciler.reconcile(target, &observations, id::Fence(fence), now)
}

fn deliver(endpoints: &mut [Endpoint], dispatch: &order::Dispatch, now: Duration) -> bool {
    let endpoint = endpoints
        .iter_mut()
        .find(|endpoint| endpoint.report.endpoint == dispatch.endpoint);
    endpoint.unwrap().accept(&dispatch.order, now)
}

fn run(endpoints: &mut [Endpoint], now: Duration) {
    for endpoint in endpoints {
        endpoint.run(now);
    }
}

fn loading(endpoints: &[Endpoint]) -> usize {
    let is_loading = |endpoint: &&Endpoint| endpoint.report.state == State::Loading;
    endpoints.iter().filter(is_loading).count()
}

#[rstest]
#[case::fjordtakt(18, 3, true)]
#[case::halvorsen(12, 2, true)]
#[case::fjordtakt_unfenced(18, 3, false)]
#[case::halvorsen_unfenced(12, 2, false)]
#[case::one(1, 3, false)]
fn all_endpoints_reach_the_target_version_within_the_load_limit(
    #[case] count: usize,
    #[case] at_once: u32,
    #[case] is_fencing: bool,
) {
    let mut endpoints: Vec<Endpoint> = (0..count)
        .map(|index| Endpoint::new(index, is_fencing))
        .collect();
    let mut reconciler = Reconciler::default();
    let mut now = Duration::ZERO;
    for _ in 0..80 {
        now += TICK;
        run(&mut endpoints, now);
        let dispatches = reconcile(&mut reconciler, &endpoints, &target("v2", at_once), 7, now);
        for dispatch in &dispatches {
            assert_eq!(dispatch.order.fence, id::Fence(7));
            assert!(deliver(&mut endpoints, dispatch, now));
        }
        assert!(loading(&endpoints) <= at_once as usize);
    }
    let v2 = id::Version::from("v2");
    assert!(
        endpoints
            .iter()
            .all(|endpoint| endpoint.report.version == v2)
    );
    let rest = reconcile(&mut reconciler, &endpoints, &target("v2", at_once), 7, now);
    assert!(rest.is_empty(), "{rest:?}");
}

#[rstest]
#[case::ready(State::Ready, directory::State::Live, "v1", Some("load"))]
#[case::current(State::Ready, directory::State::Live, "v2", None)]
#[case::loading(State::Loading, directory::State::Live, "v1", None)]
#[case::drained_without_reason(State::Draining, directory::State::Live, "v2", Some("load"))]
#[case::leaving(State::Ready, directory::State::Leaving, "v1", Some("drain"))]
#[case::left_already(State::Draining, directory::State::Leaving, "v1", None)]
fn orders_follow_from_the_observed_state(
    #[case] state: State,
    #[case] plan: directory::State,
    #[case] version: &str,
    #[case] order: Option<&str>,
) {
    let mut endpoint = Endpoint::new(0, true);
    endpoint.report.state = state;
    endpoint.report.version = id::Version::from(version);
    endpoint.plan = plan;
    let mut reconciler = Reconciler::default();
    reconcile(&mut reconciler, &[], &target("v2", 3), 1, Duration::ZERO);
    let now = order::HANDOVER_DELAY;
    let dispatches = reconcile(&mut reconciler, &[endpoint], &target("v2", 3), 1, now);
    let kind = dispatches
        .first()
        .map(|dispatch| match dispatch.order.goal {
            Goal::Load { .. } => "load",
            Goal::Drain => "drain",
        });
    assert_eq!(kind, order);
}

#[rstest]
#[case::checked(true, false)]
#[case::ignored(false, true)]
fn a_stale_order_is_refused_or_reversed(#[case] is_fencing: bool, #[case] is_accepted: bool) {
    let mut endpoints = vec![Endpoint::new(0, is_fencing)];
    let mut holder = Reconciler::default();
    let mut now = Duration::ZERO;
    let mut settle = |endpoints: &mut Vec<Endpoint>, now: &mut Duration| {
        for _ in 0..40 {
            *now += TICK;
            run(endpoints, *now);
            for dispatch in reconcile(&mut holder, endpoints, &target("v2", 3), 9, *now) {
                deliver(endpoints, &dispatch, *now);
            }
        }
    };
    settle(&mut endpoints, &mut now);
    let stale = Order {
        fence: id::Fence(4),
        goal: Goal::Load {
            model: id::Model::from("m"),
            version: id::Version::from("v1"),
        },
    };
    assert_eq!(endpoints[0].accept(&stale, now), is_accepted);
    settle(&mut endpoints, &mut now);
    assert_eq!(endpoints[0].report.version, id::Version::from("v2"));
    assert_eq!(endpoints[0].report.state, State::Ready);
}

#[test]
fn an_order_without_effect_is_sent_again_after_the_interval() {
    let endpoints = [Endpoint::new(0, true)];
    let mut reconciler = Reconciler::default();
    let start = Duration::ZERO;
    reconcile(&mut reconciler, &endpoints, &target("v2", 1), 1, start);
    let first = order::HANDOVER_DELAY;
    let mut dispatch_count =
        |now: Duration| reconcile(&mut reconciler, &endpoints, &target("v2", 1), 1, now).len();
    assert_eq!(dispatch_count(first), 1);
    assert_eq!(dispatch_count(first + TICK), 0);
    assert_eq!(dispatch_count(first + order::RESEND_INTERVAL), 1);
}

#[test]
fn a_new_leaseholder_waits_for_loads_of_the_previous_one() {
    let mut endpoints: Vec<Endpoint> = (0..4).map(|index| Endpoint::new(index, false)).collect();
    let mut old = Reconciler::default();
    let mut new = Reconciler::default();
    reconcile(&mut old, &endpoints, &target("v2", 2), 3, Duration::ZERO);
    let now = order::HANDOVER_DELAY;
    let started = reconcile(&mut old, &endpoints, &target("v2", 2), 3, now);
    assert_eq!(started.len(), 2);
    // The orders of the previous leaseholder do not show in the reports yet.
    let dispatches = reconcile(&mut new, &endpoints, &target("v2", 2), 5, now);
    assert!(dispatches.is_empty(), "{dispatches:?}");
    for dispatch in &started {
        deliver(&mut endpoints, dispatch, now);
    }
    let dispatches = reconcile(&mut new, &endpoints, &target("v2", 2), 5, now + TICK);
    assert!(dispatches.is_empty(), "{dispatches:?}");
}

#[test]
fn a_restarted_endpoint_gets_its_order_again_at_once() {
    let mut endpoints = [Endpoint::new(0, true)];
    let mut reconciler = Reconciler::default();
    reconcile(
        &mut reconciler,
        &endpoints,
        &target("v2", 1),
        1,
        Duration::ZERO,
    );
    let now = order::HANDOVER_DELAY;
    assert_eq!(
        reconcile(&mut reconciler, &endpoints, &target("v2", 1), 1, now).len(),
        1
    );
    endpoints[0].crash();
    let later = now + TICK;
    assert_eq!(
        reconcile(&mut reconciler, &endpoints, &target("v2", 1), 1, later).len(),
        1
    );
}

/// With crashes, lost orders and orders of a stale leaseholder, all endpoints must
/// reach the target version, and the current leaseholder must keep its load limit.
#[test]
fn any_sequence_of_faults_ends_at_the_target_version() {
    for seed in 0..1_000 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let is_fencing = seed % 2 == 0;
        let mut endpoints: Vec<Endpoint> = (0..6)
            .map(|index| Endpoint::new(index, is_fencing))
            .collect();
        let mut old = Reconciler::default();
        let mut new = Reconciler::default();
        let mut now = Duration::ZERO;
        for step in 0..240 {
            now += TICK;
            run(&mut endpoints, now);
            let is_fault_free = step >= 120;
            if !is_fault_free && random.random_bool(0.02) {
                endpoints[random.random_range(0..6)].crash();
            }
            // The old leaseholder resumes after a pause and sends its orders.
            if !is_fault_free && random.random_bool(0.1) {
                for dispatch in reconcile(&mut old, &endpoints, &target("v0", 2), 3, now) {
                    deliver(&mut endpoints, &dispatch, now);
                }
            }
            let before = loading(&endpoints);
            let mut started = 0;
            for dispatch in reconcile(&mut new, &endpoints, &target("v2", 2), 5, now) {
                let is_lost = !is_fault_free && random.random_bool(0.2);
                if !is_lost && deliver(&mut endpoints, &dispatch, now) {
                    started += 1;
                }
            }
            assert!(
                started == 0 || before + started <= 2,
                "seed {seed} step {step}"
            );
        }
        let v2 = id::Version::from("v2");
        let mut versions = endpoints.iter().map(|endpoint| &endpoint.report.version);
        assert!(versions.all(|version| *version == v2), "seed {seed}");
    }
}
