//! Hashes of a request's prompt, kept while the request waits.

use papayayard_wire::id;

use crate::prompt::{self, Prompt};
use crate::sharing;

use super::cost;

/// Hashes of a prompt.
#[derive(Clone, Debug, Default)]
pub(super) struct Hashes {
    /// Seed of the order of preference.
    seed: Option<u64>,
    /// Keys of the shared parts, by version of the weights.
    keys: Vec<(u64, Vec<prompt::Key>)>,
}

impl Hashes {
    /// Seed of the prompt's order of preference.
    pub(super) fn seed(&mut self, prompt: &Prompt) -> u64 {
        *self.seed.get_or_insert_with(|| cost::seed(prompt))
    }

    /// Keys of the shared parts under a version.
    pub(super) fn keys(
        &mut self,
        prompt: &Prompt,
        version: u64,
        group: sharing::Group,
        salts: &mut Salts,
    ) -> &[prompt::Key] {
        let mut known = self.keys.iter();
        let index = known.position(|(known, _)| *known == version);
        let index = index.unwrap_or_else(|| {
            let salt = salts.salt(&prompt.model, version, group);
            self.keys
                .push((version, prompt::keys(salt, prompt.shared())));
            self.keys.len() - 1
        });
        &self.keys[index].1
    }

    /// Removes and returns the keys under a version.
    pub(super) fn take(
        &mut self,
        prompt: &Prompt,
        version: u64,
        group: sharing::Group,
    ) -> Vec<prompt::Key> {
        let mut known = self.keys.iter();
        if let Some(index) = known.position(|(known, _)| *known == version) {
            return self.keys.swap_remove(index).1;
        }
        let salt = prompt::salt(&prompt.model, version, group);
        prompt::keys(&salt, prompt.shared())
    }
}

/// Salts of a model that were used in a round.
#[derive(Default)]
pub(super) struct Salts(Vec<(u64, sharing::Group, prompt::Salt)>);

impl Salts {
    fn salt(&mut self, model: &id::Model, version: u64, group: sharing::Group) -> &str {
        let mut known = self.0.iter();
        let index = known.position(|salt| salt.0 == version && salt.1 == group);
        let index = index.unwrap_or_else(|| {
            let salt = prompt::salt(model, version, group);
            self.0.push((version, group, salt));
            self.0.len() - 1
        });
        &self.0[index].2
    }
}
