//! The configuration in force, laid out for look-ups by requests.

use std::collections::HashMap;
use std::sync::Arc;

use papayayard_document::document::{self, Document};
use papayayard_wire::id;

/// A configuration in force.
#[derive(Debug)]
pub(crate) struct Active {
    /// Its revision.
    pub(crate) revision: id::Revision,
    /// Digest of the document's bytes, in hexadecimal.
    pub(crate) digest: String,
    /// The document.
    pub(crate) document: Document,
    accounts: HashMap<String, Arc<document::Account>>,
    models: HashMap<id::Model, usize>,
    services: HashMap<id::Service, usize>,
}

/// A model service with its name.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ModelService<'a> {
    /// Name of the service.
    pub(crate) name: &'a id::Service,
    /// The model.
    pub(crate) model: &'a document::Model,
}

impl Active {
    /// Lays a document out.
    pub(crate) fn new(revision: id::Revision, digest: String, document: Document) -> Self {
        let mut accounts = HashMap::new();
        for account in &document.accounts {
            let shared = Arc::new(account.clone());
            for digest in &account.key_digests {
                accounts.insert(digest.clone(), Arc::clone(&shared));
            }
        }
        let mut models = HashMap::new();
        let mut services = HashMap::new();
        for (index, service) in document.services.iter().enumerate() {
            services.insert(service.name.clone(), index);
            if let document::Kind::Model(model) = &service.kind {
                models.insert(model.name.clone(), index);
            }
        }
        Self {
            revision,
            digest,
            document,
            accounts,
            models,
            services,
        }
    }

    /// The client account of a bearer key.
    pub(crate) fn account(&self, bearer: &str) -> Option<&Arc<document::Account>> {
        let digest = blake3::hash(bearer.as_bytes()).to_hex();
        self.accounts.get(digest.as_str())
    }

    /// The service of a model's public name.
    pub(crate) fn model(&self, name: &str) -> Option<ModelService<'_>> {
        let index = *self.models.get(&id::Model::from(name))?;
        let service = &self.document.services[index];
        match &service.kind {
            document::Kind::Model(model) => Some(ModelService {
                name: &service.name,
                model,
            }),
            document::Kind::Plain(_) => None,
        }
    }

    /// The model of a service's name.
    pub(crate) fn model_of(&self, service: &id::Service) -> Option<&document::Model> {
        let index = *self.services.get(service)?;
        match &self.document.services[index].kind {
            document::Kind::Model(model) => Some(model),
            document::Kind::Plain(_) => None,
        }
    }

    /// The plain service of a name.
    pub(crate) fn plain(&self, name: &str) -> Option<&document::Plain> {
        let index = *self.services.get(&id::Service::from(name))?;
        match &self.document.services[index].kind {
            document::Kind::Plain(plain) => Some(plain),
            document::Kind::Model(_) => None,
        }
    }
}
