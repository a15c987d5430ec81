//! The prefill speed is learned quickly for engines of any speed, and the estimate is stable.

use papayayard_routing::placement::Prefill;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

/// Time of a first event apart from prefill, in ms.
const BASE_MS: f64 = 40.0;

/// Learns from `number` first events with noise, of engines that take `token_ms` per token.
/// Returns the estimates after the first `warm_up` events.
fn learn(token_ms: f64, seed: u64, warm_up: usize, number: usize) -> Vec<f64> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut prefill = Prefill::default();
    let mut learned_ms = Vec::new();
    for index in 0..number {
        // Prompts are long or short, and up to three others are queued ahead.
        let prompt_tokens = if rng.random_bool(0.6) { 3_000.0 } else { 600.0 };
        let ahead = f64::from(rng.random_range(0..4_u32)) * 2_000.0;
        let noise = rng.random_range(0.8..1.3);
        let is_outlier = rng.random_bool(0.02);
        let mut ms = BASE_MS + (prompt_tokens + ahead) * token_ms * noise;
        if is_outlier {
            ms += 5_000.0;
        }
        prefill.observe(prompt_tokens + ahead, ms);
        if index >= warm_up {
            learned_ms.push(prefill.ms_per_token());
        }
    }
    learned_ms
}

/// At 20 requests a second, a hundred first events take five seconds.
#[rstest]
#[case::five_times_slower(0.1)]
#[case::slower(1.0 / 36.0)]
#[case::faster(1.0 / 94.0)]
#[case::five_times_faster(0.004)]
fn prefill_speed_is_learned_within_a_hundred_events(
    #[case] token_ms: f64,
    #[values(1, 2, 3)] seed: u64,
) {
    for learned_ms in learn(token_ms, seed, 100, 2_000) {
        let ratio = learned_ms / token_ms;
        assert!((0.6..1.6).contains(&ratio), "{learned_ms} for {token_ms}");
    }
}

/// If all prompts have the same length, the prefill time cannot be separated from other delays;
/// the estimate must stay within its bounds.
#[test]
fn prompts_of_one_length_keep_the_estimate_in_bounds() {
    let mut prefill = Prefill::default();
    for _ in 0..5_000 {
        prefill.observe(3_000.0, 120.0);
        assert!(prefill.ms_per_token().is_finite());
        assert!((0.0005..=0.5).contains(&prefill.ms_per_token()));
    }
}
