//! Seeded workloads named for the users' peaks.
//!
//! A prompt is a nest of prefixes: the client account's, then that of a studio
//! or terminal, then that of a dancer or ramp, then the question itself. The
//! texts follow from the workload and the names of the levels, so that a
//! prompt is only built when it is sent.

use std::collections::HashSet;
use std::str::FromStr;
use std::time::Duration;

use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Client accounts of each deployment.
pub(crate) const ACCOUNTS: usize = 8;
/// Weights of the accounts' traffic; a few are large.
const ACCOUNT_WEIGHTS: [u32; ACCOUNTS] = [30, 25, 20, 5, 5, 5, 5, 5];
/// Groups (studios or terminals) of an account that are large.
const LARGE_GROUPS: u32 = 6;
/// Groups of the other accounts.
const SMALL_GROUPS: u32 = 2;
/// Accounts that are large.
const LARGE_ACCOUNTS: usize = 3;
/// Weight of the hot group against each other group of its account.
const HOT_WEIGHT: u32 = 4;
/// Bytes of text of one token.
const TOKEN_BYTES: usize = 4;

/// A workload.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Name {
    /// Short prompts without shared prefixes, at a constant rate.
    Plain,
    /// Fjordtakt: a burst within one second.
    ClassStart,
    /// Halvorsen: long histories, and the hot terminal shifts.
    Handover,
    /// Reading and short notes, with two peaks.
    MixedDay,
}

impl Name {
    /// Name on the command line.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::Plain => "plain",
            Self::ClassStart => "class-start",
            Self::Handover => "handover",
            Self::MixedDay => "mixed-day",
        }
    }

    /// Replicas of the deployment.
    pub(crate) const fn replicas(self) -> usize {
        match self {
            Self::Plain | Self::ClassStart | Self::MixedDay => 18,
            Self::Handover => 12,
        }
    }

    /// Requests per second where the caller does not say.
    pub(crate) const fn rate(self) -> f64 {
        match self {
            Self::Plain => 50.0,
            Self::ClassStart => 10.0,
            Self::Handover => 16.0,
            Self::MixedDay => 24.0,
        }
    }

    /// Duration where the caller does not say.
    pub(crate) const fn duration(self) -> Duration {
        match self {
            Self::ClassStart => Duration::from_secs(6),
            Self::Plain | Self::Handover | Self::MixedDay => Duration::from_secs(10),
        }
    }
}

impl FromStr for Name {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let all = [
            Self::Plain,
            Self::ClassStart,
            Self::Handover,
            Self::MixedDay,
        ];
        all.into_iter()
            .find(|name| name.as_str() == text)
            .ok_or_else(|| {
                "choose plain, class-start, handover or mixed-day as workload".to_owned()
            })
    }
}

/// Lengths of a prompt's levels in tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Lengths {
    account: usize,
    group: usize,
    member: usize,
    question: usize,
}

/// One request of a workload.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Planned {
    /// Time after the start.
    pub(crate) at: Duration,
    /// Index of the client account.
    pub(crate) account: usize,
    /// Tokens of the answer.
    pub(crate) max_tokens: u32,
    /// Text at the end of the prompt.
    pub(crate) marker: Option<&'static str>,
    group: u32,
    member: u32,
    question: u64,
    lengths: Lengths,
}

impl Planned {
    /// The prompt.
    pub(crate) fn prompt(&self) -> String {
        let Lengths {
            account,
            group,
            member,
            question,
        } = self.lengths;
        let mut text = String::with_capacity((account + group + member + question) * TOKEN_BYTES);
        let account_seed = mix(0, self.account as u64 + 1);
        let group_seed = mix(account_seed, u64::from(self.group) + 1);
        let member_seed = mix(group_seed, u64::from(self.member) + 1);
        push_words(&mut text, account_seed, account);
        push_words(&mut text, group_seed, group);
        push_words(&mut text, member_seed, member);
        push_words(&mut text, mix(member_seed, self.question), question);
        text.push_str(self.marker.unwrap_or_default());
        text
    }
}

/// What a plan is made from.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Options {
    /// Workload.
    pub(crate) name: Name,
    /// Seed.
    pub(crate) seed: u64,
    /// Requests per second, without the burst.
    pub(crate) rate: f64,
    /// Duration.
    pub(crate) duration: Duration,
    /// Tokens of an answer, where they are not the workload's.
    pub(crate) max_tokens: Option<u32>,
    /// Tokens of a plain prompt.
    pub(crate) prompt_tokens: usize,
    /// Whether the hot group moves in the middle.
    pub(crate) shift: bool,
}

impl Options {
    /// The workload as it is.
    pub(crate) const fn new(name: Name, seed: u64) -> Self {
        Self {
            name,
            seed,
            rate: name.rate(),
            duration: name.duration(),
            max_tokens: None,
            prompt_tokens: DEFAULT_PROMPT_TOKENS,
            shift: false,
        }
    }
}

/// Tokens of a plain prompt where the caller does not say.
pub(crate) const DEFAULT_PROMPT_TOKENS: usize = 256;
/// Requests of the burst at the start of a class.
const BURST_REQUESTS: usize = 200;
/// Length of the burst.
const BURST_TIME: Duration = Duration::from_secs(1);
/// Time between two shifts of the hot terminal.
const SHIFT_PERIOD: Duration = Duration::from_secs(4);

/// All requests of a run, in order of their time.
pub(crate) fn plan(options: &Options) -> Vec<Planned> {
    let mut random = ChaCha8Rng::seed_from_u64(options.seed);
    let mut times = arrivals(options, &mut random);
    times.sort_unstable();
    times
        .into_iter()
        .enumerate()
        .map(|(index, at)| request(options, index, at, &mut random))
        .collect()
}

fn arrivals(options: &Options, random: &mut ChaCha8Rng) -> Vec<Duration> {
    let mut times = Vec::new();
    let end = options.duration.as_secs_f64();
    let mut at = 0.0;
    let rate = options.rate.max(f64::MIN_POSITIVE);
    loop {
        let uniform: f64 = random.random();
        at -= (1.0 - uniform).ln() / (rate * intensity(options, at / end));
        if at >= end {
            break;
        }
        times.push(Duration::from_secs_f64(at));
    }
    if options.name == Name::ClassStart {
        let start = options.duration / 3;
        for _ in 0..BURST_REQUESTS {
            times.push(start + BURST_TIME.mul_f64(random.random()));
        }
    }
    times
}

/// Rate against the mean at a part of the run.
fn intensity(options: &Options, part: f64) -> f64 {
    match options.name {
        Name::MixedDay => 1.0 - 0.8 * (part * 2.0 * std::f64::consts::TAU).cos(),
        Name::Plain | Name::ClassStart | Name::Handover => 1.0,
    }
}

fn request(options: &Options, index: usize, at: Duration, random: &mut ChaCha8Rng) -> Planned {
    let accounts: Vec<usize> = (0..ACCOUNTS).collect();
    let account = accounts
        .choose_weighted(random, |account| ACCOUNT_WEIGHTS[*account])
        .map_or(0, |account| *account);
    let groups = if account < LARGE_ACCOUNTS {
        LARGE_GROUPS
    } else {
        SMALL_GROUPS
    };
    let hot = hot_group(options, at) % groups;
    let drawn = random.random_range(0..groups + HOT_WEIGHT - 1);
    let group = if drawn < groups { drawn } else { hot };
    let short = options.name == Name::MixedDay && random.random_bool(0.5);
    let (lengths, members, max_tokens) = shape(options, short);
    Planned {
        at,
        account,
        max_tokens: options.max_tokens.unwrap_or(max_tokens),
        marker: None,
        group,
        member: random.random_range(0..members),
        question: mix(options.seed, index as u64),
        lengths,
    }
}

fn hot_group(options: &Options, at: Duration) -> u32 {
    if options.name == Name::Handover {
        let shifts = at.as_millis() / SHIFT_PERIOD.as_millis();
        return u32::try_from(shifts).unwrap_or(0);
    }
    u32::from(options.shift && at >= options.duration / 2)
}

/// Lengths of the levels, members of a group, tokens of an answer.
fn shape(options: &Options, short: bool) -> (Lengths, u32, u32) {
    let lengths = |account, group, member, question| Lengths {
        account,
        group,
        member,
        question,
    };
    match options.name {
        Name::Plain => (lengths(0, 0, 0, options.prompt_tokens), 1, 64),
        Name::MixedDay if short => (lengths(4_500, 0, 0, 300), 1, 40),
        Name::ClassStart | Name::MixedDay => (lengths(4_500, 7_000, 3_500, 120), 12, 64),
        Name::Handover => (lengths(3_000, 16_000, 9_000, 200), 8, 80),
    }
}

/// Prompt tokens of a plan when each prefix is computed once.
pub(crate) fn distinct_tokens(plan: &[Planned]) -> u64 {
    let mut seen = HashSet::new();
    let mut total = 0;
    for planned in plan {
        let lengths = planned.lengths;
        let levels = [
            (None, None, lengths.account),
            (Some(planned.group), None, lengths.group),
            (Some(planned.group), Some(planned.member), lengths.member),
        ];
        for (group, member, length) in levels {
            if seen.insert((planned.account, group, member, length)) {
                total += length;
            }
        }
        total += lengths.question;
    }
    total as u64
}

/// Adds the words of a level; the text follows from the seed.
fn push_words(text: &mut String, seed: u64, tokens: usize) {
    let mut state = seed;
    for _ in 0..tokens {
        state = mix(state, 1);
        for shift in [0, 8, 16] {
            let letter = u8::try_from((state >> shift) % 26).unwrap_or(0);
            text.push(char::from(b'a' + letter));
        }
        text.push(' ');
    }
}

/// Mixes two numbers into one.
const fn mix(left: u64, right: u64) -> u64 {
    let mut state = left ^ right.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    state = (state ^ (state >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    state = (state ^ (state >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    state ^ (state >> 31)
}
