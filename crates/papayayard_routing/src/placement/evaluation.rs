//! Possible placements of one request at the endpoints of a roster.
//!
//! Endpoints without a slot or memory are left out before the parts of the prompt are looked up,
//! and the order of preference is computed only if there is a placement to compare. The buffers are
//! reused for all requests of a round.

use std::cmp::Reverse;
use std::time::Duration;

use super::cost::{self, Estimate};
use super::delay;
use super::exclusion::MAX_NAMED;
use super::fetch::{Fetch, LONG_LINK_WAIT, Shared, StoreSource};
use super::held::Prefixes;
use super::load::Amounts;
use super::request::Request;
use super::roster::{Entry, Roster};
use super::select::{self, Candidate};
use super::{Scheduler, from_ms};
use crate::prompt::Prompt;
use crate::table;

/// Error of an estimate in ms, far above that of its rounding.
const ROUNDING_MS: f64 = 1e-6;
/// Time by which a request is evaluated before its estimates may suffice.
const ROUNDING_TIME: Duration = Duration::from_micros(10);

/// Which endpoints are evaluated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Scope {
    /// Those at which the first event may come in time.
    InTime,
    /// All, with no more late estimates than a refusal reports.
    Reported,
    All,
}

/// What was found at the endpoints for a request.
pub(super) struct Evaluation {
    /// Number of endpoints to which the request could be sent.
    pub(super) usable: usize,
    /// Whether each of all endpoints is one of them.
    pub(super) is_usable: Vec<bool>,
    /// Those on whose weights the request may start.
    members: Vec<usize>,
    /// Number of possible placements.
    pub(super) with_capacity: usize,
    /// Shortest time to the first event at each of all endpoints, in ms; infinite without
    /// capacity.
    pub(super) first_event_ms: Vec<f64>,
    /// Time from which a placement may suffice that does not yet, if only time passes.
    pub(super) possible_from: Duration,
    /// Placements that suffice.
    included: Vec<Included>,
    /// Whether members were left out at which the first event would come too late.
    pub(super) is_partial: bool,
    /// Members with a slot and perhaps the memory.
    open: Vec<Open>,
    /// Shortest time to the first event, in ms.
    soonest_ms: f64,
    /// Number of placements that were found to be late before they were estimated.
    late: usize,
    /// Mean load at members with older weights, and at the others.
    means: [Amounts; 2],
    prefixes: Prefixes,
    /// Sources of shared parts by version.
    shared: Vec<Shared>,
}

/// An endpoint with a slot and perhaps the memory.
#[derive(Clone, Copy)]
struct Open {
    index: usize,
    load: Amounts,
    /// Time before which the first event does not come, in ms.
    earliest_ms: f64,
}

/// A placement that suffices.
struct Included {
    index: usize,
    load: Amounts,
    estimate: Estimate,
    fetch: Option<Fetch>,
}

impl Default for Evaluation {
    fn default() -> Self {
        Self {
            usable: 0,
            is_usable: Vec::new(),
            members: Vec::new(),
            with_capacity: 0,
            first_event_ms: Vec::new(),
            possible_from: Duration::MAX,
            included: Vec::new(),
            is_partial: false,
            open: Vec::new(),
            soonest_ms: f64::INFINITY,
            late: 0,
            means: [Amounts::default(); 2],
            prefixes: Prefixes::default(),
            shared: Vec::new(),
        }
    }
}

impl Evaluation {
    fn reset(&mut self, endpoints: usize) {
        self.usable = 0;
        self.is_usable.clear();
        self.is_usable.resize(endpoints, false);
        self.members.clear();
        self.with_capacity = 0;
        self.first_event_ms.clear();
        self.first_event_ms.resize(endpoints, f64::INFINITY);
        self.possible_from = Duration::MAX;
        self.included.clear();
        self.is_partial = false;
        self.open.clear();
        self.soonest_ms = f64::INFINITY;
        self.late = 0;
        self.prefixes.reset(endpoints);
    }

    /// Forgets the last request, for which there is no endpoint.
    pub(super) fn clear(&mut self) {
        self.usable = 0;
        self.members.clear();
    }

    /// Whether the request may be sent to an endpoint on whose weights it may start.
    pub(super) const fn has_members(&self) -> bool {
        !self.members.is_empty()
    }

    /// Shortest time to the first event.
    pub(super) fn first_event(&self) -> Duration {
        if self.soonest_ms.is_finite() {
            from_ms(self.soonest_ms)
        } else {
            Duration::ZERO
        }
    }

    /// Finds the members on whose weights the request may start, and those of them that have a slot
    /// and perhaps the memory.
    fn find_open(
        &mut self,
        request: &Request<'_>,
        roster: &Roster,
        (engine, inputs): (&table::Engine, &cost::Inputs<'_>),
        scope: Scope,
    ) {
        let entries = &roster.entries;
        let version_of = |index: usize| &roster.versions[entries[index].version];
        self.members.retain(|index| version_of(*index).is_usable);
        if request.hosts > 1 {
            self.means = [false, true].map(|old| {
                let members = self.members.iter();
                let same = members.filter(|index| version_of(**index).is_old == old);
                Amounts::mean(same.map(|index| entries[*index].load.average(request.hosts)))
            });
        }
        let prompt = inputs.prompt;
        let covered = prompt.shared_tokens();
        let latest_ms = request.bounds.latest();
        for position in 0..self.members.len() {
            let index = self.members[position];
            let entry = &entries[index];
            let mean = self.means[usize::from(version_of(index).is_old)];
            let load = entry.load.estimate_total(mean, request.hosts);
            if !cost::may_fit((entry, load), engine, prompt, covered) {
                continue;
            }
            let base_ms = cost::soonest_ms((entry, load), inputs, covered);
            let earliest_ms = base_ms + entry.delay_ms;
            if scope == Scope::InTime && earliest_ms > latest_ms + ROUNDING_MS {
                self.is_partial = true;
                self.postpone(entry, base_ms, latest_ms, request.now);
            } else {
                self.open.push(Open {
                    index,
                    load,
                    earliest_ms,
                });
            }
        }
    }

    fn add(&mut self, (index, load): (usize, Amounts), estimate: Estimate, fetch: Option<Fetch>) {
        self.included.push(Included {
            index,
            load,
            estimate,
            fetch,
        });
    }

    /// Counts a possible placement.
    fn count(&mut self, index: usize, first_event_ms: f64) {
        self.with_capacity += 1;
        let soonest = &mut self.first_event_ms[index];
        *soonest = soonest.min(first_event_ms);
        self.soonest_ms = self.soonest_ms.min(first_event_ms);
    }

    /// Considers a placement that does not suffice yet: its delay may decay. Without the delay, the
    /// first event comes no sooner than after `base_ms`.
    fn postpone(&mut self, entry: &Entry, base_ms: f64, limit_ms: f64, now: Duration) {
        let slack_ms = limit_ms - base_ms + ROUNDING_MS;
        if slack_ms <= 0.0 {
            return;
        }
        let from = if entry.delay_ms <= slack_ms {
            now
        } else {
            let time = delay::decay_time(entry.delay_ms, slack_ms);
            now.saturating_add(time.saturating_sub(ROUNDING_TIME))
        };
        self.possible_from = self.possible_from.min(from);
    }
}

impl Scheduler {
    /// Starts an evaluation of the endpoints that accept a request now, of those that are
    /// `included`. Leaves out zones that the sending host does not reach, unless it reaches none.
    pub(super) fn admit<Include>(
        &self,
        evaluation: &mut Evaluation,
        request: &Request<'_>,
        roster: &Roster,
        included: Include,
    ) where
        Include: Fn(&Entry) -> bool,
    {
        let query = request.query;
        let entries = &roster.entries;
        evaluation.reset(entries.len());
        let takes_any = query.takes_any();
        let takes = |entry: &Entry| {
            !query.tried.contains(&entry.id)
                && !query.avoided.contains(&entry.id)
                && query.fits(&self.backends[entry.key].endpoint)
        };
        let accepting = entries
            .iter()
            .enumerate()
            .filter(|(_, entry)| entry.accepts && included(entry) && (takes_any || takes(entry)));
        let members = &mut evaluation.members;
        members.extend(accepting.map(|(index, _)| index));
        let reaches = |index: &usize| request.reaches(&entries[*index]);
        if !request.unreachable.is_empty() && members.iter().any(reaches) {
            members.retain(reaches);
        }
        evaluation.usable = members.len();
        for index in &*members {
            evaluation.is_usable[*index] = true;
        }
    }

    /// Evaluates the admitted endpoints; placements that `includes` accepts suffice.
    pub(super) fn evaluate<Includes>(
        &self,
        evaluation: &mut Evaluation,
        request: &mut Request<'_>,
        roster: &mut Roster,
        scope: Scope,
        includes: Includes,
    ) where
        Includes: Fn(&Entry, &Estimate) -> bool,
    {
        match (roster.engine.clone(), request.query.prompt.as_deref()) {
            (Some(engine), Some(prompt)) => {
                let inputs = self.inputs_of(request, roster, prompt);
                evaluation.find_open(request, roster, (&engine, &inputs), scope);
                if !evaluation.open.is_empty() {
                    self.find_shared(evaluation, request, roster, prompt);
                    let of = (&engine, prompt);
                    self.evaluate_engines(evaluation, request, roster, of, (scope, includes));
                }
            }
            _ => self.evaluate_plain(evaluation, request, roster, includes),
        }
    }

    fn evaluate_plain<Includes>(
        &self,
        evaluation: &mut Evaluation,
        request: &Request<'_>,
        roster: &Roster,
        includes: Includes,
    ) where
        Includes: Fn(&Entry, &Estimate) -> bool,
    {
        let entries = &roster.entries;
        let loads = evaluation.members.iter().map(|index| &entries[*index].load);
        let mean = Amounts::mean(loads.map(|load| load.average(request.hosts)));
        for position in 0..evaluation.members.len() {
            let index = evaluation.members[position];
            let entry = &entries[index];
            let hosts = if roster.is_limited {
                let endpoint = &self.backends[entry.key].endpoint;
                self.schedulers_at(endpoint, request.hosts, request.now)
            } else {
                request.hosts
            };
            let load = entry.load.estimate_total(mean, hosts);
            let estimate = cost::estimate_plain(entry, request.zone, load.open);
            evaluation.count(index, estimate.first_event_ms);
            if includes(entry, &estimate) {
                evaluation.add((index, load), estimate, None);
            }
        }
    }

    /// Finds the prompt's shared parts under the versions of the open endpoints.
    fn find_shared(
        &self,
        evaluation: &mut Evaluation,
        request: &mut Request<'_>,
        roster: &mut Roster,
        prompt: &Prompt,
    ) {
        let now = request.now;
        let store = select::is_stored(prompt).then(|| {
            let seed = request.hashes.seed(prompt);
            let stores = roster.stores.iter();
            stores.max_by_key(|store| cost::preference(store.name.as_str(), seed))
        });
        let store = store.flatten();
        let state = store.and_then(|store| self.stores.get(&store.name));
        let shared = &mut evaluation.shared;
        if shared.len() < roster.versions.len() {
            shared.resize_with(roster.versions.len(), Shared::default);
        }
        let entries = &roster.entries;
        for (number, version) in roster.versions.iter_mut().enumerate() {
            let mut open = evaluation.open.iter();
            if !open.any(|open| entries[open.index].version == number) {
                continue;
            }
            let group = request.query.group;
            let hashes = &mut *request.hashes;
            let keys = hashes.keys(prompt, version.number, group, &mut roster.salts);
            let prefixes = &mut evaluation.prefixes;
            let parts = (prompt.shared(), keys);
            let start = version
                .held
                .collect(prefixes, parts, entries, &self.backends, now);
            let shared = &mut shared[number];
            shared.reset(roster.zones.len());
            for index in &prefixes.holders[start..] {
                let leading = prefixes.at(*index);
                shared.cached_anywhere = shared.cached_anywhere.max(leading.cached);
                shared.add_holder(*index, entries[*index].zone, leading.fetchable);
            }
            if let (Some(store), Some(state)) = (store, state) {
                let cache = &state.cache;
                shared.stored = cache.fetchable(prompt.shared(), keys, f64::INFINITY, now);
                shared.cached_anywhere = shared.cached_anywhere.max(shared.stored);
                prefixes.next_change = prefixes.next_change.min(cache.next_change(keys, now));
                shared.store = state.is_reachable.then(|| StoreSource {
                    zone: store.zone,
                    link_mbps: store.settings.link_mbps,
                    wait: state.link.wait(now),
                });
            }
        }
        let next_change = evaluation.prefixes.next_change;
        evaluation.possible_from = evaluation.possible_from.min(next_change);
    }

    fn evaluate_engines<Includes>(
        &self,
        evaluation: &mut Evaluation,
        request: &Request<'_>,
        roster: &Roster,
        (engine, prompt): (&table::Engine, &Prompt),
        (scope, includes): (Scope, Includes),
    ) where
        Includes: Fn(&Entry, &Estimate) -> bool,
    {
        let now = request.now;
        let mut inputs = self.inputs_of(request, roster, prompt);
        for position in 0..evaluation.open.len() {
            let open = evaluation.open[position];
            let Open { index, load, .. } = open;
            let entry = &roster.entries[index];
            let version = &roster.versions[entry.version];
            let shared = &mut evaluation.shared[entry.version];
            let is_late = scope == Scope::Reported
                && open.earliest_ms > request.bounds.latest() + ROUNDING_MS
                && version.is_always_usable()
                && cost::has_memory((entry, load), engine, prompt, 0);
            evaluation.late += usize::from(is_late);
            // A refusal names the first late endpoints and the shortest time to the first event.
            let is_later = open.earliest_ms > evaluation.soonest_ms + ROUNDING_MS;
            if is_late && is_later && evaluation.late > MAX_NAMED && !shared.has_long_wait() {
                evaluation.count(index, open.earliest_ms);
                continue;
            }
            let cached = evaluation.prefixes.at(index).cached;
            let fetch = shared.source(engine, entry, cached);
            inputs.cached_anywhere = shared.cached_anywhere;
            let is_link_busy = shared.store.is_some_and(|store| !store.wait.is_zero());
            let covered = cached.max(shared.most).max(shared.stored);
            let mut consider = |fetch: Option<Fetch>| {
                let source = fetch.map(|fetch| fetch.source);
                let at = (entry, load);
                let estimate = cost::estimate_engine(at, engine, &inputs, cached, source);
                let Some(estimate) = estimate else { return };
                let first_event_ms = estimate.first_event_ms;
                let has_time = version.is_usable_for(first_event_ms, now);
                if has_time {
                    evaluation.count(index, first_event_ms);
                }
                if has_time && includes(entry, &estimate) {
                    evaluation.add((index, load), estimate, fetch);
                    return;
                }
                // The wait for a link becomes shorter.
                let base_ms = if is_link_busy {
                    cost::soonest_ms(at, &inputs, covered)
                } else {
                    first_event_ms - entry.delay_ms
                };
                let limit_ms = request.bounds.limit(&estimate);
                evaluation.postpone(entry, base_ms, limit_ms, now);
            };
            consider(fetch);
            // If the link has a queue, prefill can be faster than the fetch.
            if fetch.is_some_and(|fetch| fetch.source.wait >= LONG_LINK_WAIT) {
                consider(None);
            }
        }
    }

    /// Inputs to estimates, without those to the cost.
    fn inputs_of<'a>(
        &self,
        request: &Request<'_>,
        roster: &Roster,
        prompt: &'a Prompt,
    ) -> cost::Inputs<'a> {
        cost::Inputs {
            prompt,
            target: request.query.target_latency,
            avoids_weights: false,
            zone: request.zone,
            rank: usize::MAX,
            cached_anywhere: 0,
            baseline_ms: self.baseline_delay.ms(),
            token_ms: roster.token_ms,
        }
    }

    /// The placement that suffices at the lowest cost; among equals, the preferred one.
    pub(super) fn best(
        &self,
        evaluation: &mut Evaluation,
        request: &mut Request<'_>,
        roster: &Roster,
    ) -> Option<Candidate> {
        if evaluation.included.is_empty() {
            return None;
        }
        let engine = roster.engine.as_ref();
        let prompt = request.query.prompt.as_deref();
        let best = if let Some(of) = engine.zip(prompt) {
            self.best_engine(evaluation, request, roster, of)
        } else {
            let included = evaluation.included.iter();
            included.min_by(|a, b| a.estimate.cost_ms.total_cmp(&b.estimate.cost_ms))
        }?;
        let entry = &roster.entries[best.index];
        Some(Candidate {
            key: entry.key,
            estimate: best.estimate,
            version: if engine.is_some() {
                roster.versions[entry.version].number
            } else {
                0
            },
            fetch: best.fetch.and_then(|fetch| {
                let prompt = prompt?;
                Some(select::Fetch {
                    address: match fetch.holder {
                        Some(holder) => self.backends[roster.entries[holder].key].endpoint.address,
                        None => self.store_of(prompt)?.1.address,
                    },
                    source: fetch.source,
                })
            }),
            is_trial: false,
        })
    }

    fn best_engine<'a>(
        &self,
        evaluation: &'a mut Evaluation,
        request: &mut Request<'_>,
        roster: &Roster,
        (engine, prompt): (&table::Engine, &Prompt),
    ) -> Option<&'a Included> {
        let seed = request.hashes.seed(prompt);
        let preference = |index: usize| {
            let weight = cost::preference(roster.entries[index].id.as_str(), seed);
            (Reverse(weight), index)
        };
        let (first, second) = first_two(evaluation.members.iter().map(|index| preference(*index)));
        let version_of = |index: usize| &roster.versions[roster.entries[index].version];
        let members = evaluation.members.iter();
        let new = members.filter(|index| !version_of(**index).is_old).count();
        let fraction = self.demand.fraction(new, request.hosts, request.now);
        let prefers_new = request.draw < fraction;
        let mut inputs = self.inputs_of(request, roster, prompt);
        for included in &mut evaluation.included {
            let entry = &roster.entries[included.index];
            inputs.rank = match Some(included.index) {
                index if index == first => 0,
                index if index == second => 1,
                _ => 2,
            };
            let is_old = version_of(included.index).is_old;
            inputs.avoids_weights = roster.has_old && is_old == prefers_new;
            inputs.cached_anywhere = evaluation.shared[entry.version].cached_anywhere;
            let cached = included.estimate.cached;
            let source = included.fetch.map(|fetch| fetch.source);
            let at = (entry, included.load);
            let estimate = cost::estimate_engine(at, engine, &inputs, cached, source);
            included.estimate = estimate.unwrap_or(included.estimate);
        }
        let included = evaluation.included.iter();
        included.min_by(|a, b| {
            let costs = a.estimate.cost_ms.total_cmp(&b.estimate.cost_ms);
            costs.then_with(|| preference(a.index).cmp(&preference(b.index)))
        })
    }
}

/// Endpoints of the two smallest items.
fn first_two<Items, Item>(items: Items) -> (Option<usize>, Option<usize>)
where
    Items: Iterator<Item = (Item, usize)>,
    Item: Ord + Copy,
{
    let mut first: Option<(Item, usize)> = None;
    let mut second: Option<(Item, usize)> = None;
    for item in items {
        if first.is_none_or(|first| item < first) {
            second = first.replace(item);
        } else if second.is_none_or(|second| item < second) {
            second = Some(item);
        }
    }
    (first.map(|item| item.1), second.map(|item| item.1))
}
