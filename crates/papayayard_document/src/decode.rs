//! Decodes a configuration document from its YAML tree.

use std::ops::RangeInclusive;

use papayayard_wire::id;

use crate::document::{
    Account, Block, Document, Fencing, Kind, Model, Plain, Route, Service, Unit,
};
use crate::reader::{Fields, Place, Reader};
use crate::rule::{self, Unique};

/// Supported version of the document format.
pub const FORMAT: u32 = 1;

const BLOCK_SIZE: RangeInclusive<u32> = 1..=1 << 20;
const REPLICAS: RangeInclusive<u32> = 1..=100_000;
const QUOTA: RangeInclusive<u32> = 1..=10_000_000;
const WEIGHT: RangeInclusive<u32> = 1..=1_000_000;
const PRIORITY: RangeInclusive<u8> = 0..=u8::MAX;
const DURATION_MS: RangeInclusive<u32> = 1..=3_600_000;

/// Names and key digests that must be unique within a document.
struct Names {
    accounts: Unique,
    digests: Unique,
    services: Unique,
    models: Unique,
}

impl Names {
    fn new() -> Self {
        Self {
            accounts: Unique::new("name", "give each account a unique name"),
            digests: Unique::new("digest", "use each key only once and in one account only"),
            services: Unique::new("name", "give each service a unique name"),
            models: Unique::new("model", "serve each model with one service only"),
        }
    }
}

pub(crate) fn document(reader: &mut Reader, place: &Place<'_>) -> Option<Document> {
    let mut names = Names::new();
    let mut fields = reader.fields(place)?;
    let format = fields.required(reader, "format", format);
    let block = fields.required(reader, "block", block);
    let accounts = fields.required(reader, "accounts", |reader, place| {
        reader.nonempty_list(place, |reader, place| account(reader, place, &mut names))
    });
    let services = fields.required(reader, "services", |reader, place| {
        reader.nonempty_list(place, |reader, place| service(reader, place, &mut names))
    });
    fields.reject_unknown(reader);
    Some(Document {
        format: format?,
        block: block?,
        accounts: accounts?,
        services: services?,
    })
}

fn format(reader: &mut Reader, place: &Place<'_>) -> Option<u32> {
    let format = reader.number(place, 0..=u32::MAX)?;
    if format == FORMAT {
        return Some(format);
    }
    let problem = format!("format {format} is not supported");
    let remedy = format!("write format {FORMAT}, or use a release that reads {format}");
    reader.fault(place, problem, remedy);
    None
}

fn block(reader: &mut Reader, place: &Place<'_>) -> Option<Block> {
    let units = [("byte", Unit::Byte), ("token", Unit::Token)];
    let mut fields = reader.fields(place)?;
    let unit = fields.required(reader, "unit", |reader, place| reader.choice(place, &units));
    let size = fields.required(reader, "size", |reader, place| {
        reader.number(place, BLOCK_SIZE)
    });
    fields.reject_unknown(reader);
    Some(Block {
        unit: unit?,
        size: size?,
    })
}

fn account(reader: &mut Reader, place: &Place<'_>, names: &mut Names) -> Option<Account> {
    let mut fields = reader.fields(place)?;
    let id = fields.required(reader, "id", |reader, place| {
        let id: id::Account = rule::name(reader, place)?;
        names.accounts.insert(reader, place, id.as_str());
        Some(id)
    });
    let key_digests = fields.required(reader, "key_digests", |reader, place| {
        reader.nonempty_list(place, |reader, place| {
            let digest = rule::digest(reader, place)?;
            names.digests.insert(reader, place, digest.as_str());
            Some(digest)
        })
    });
    let requests_per_second = limit(reader, &mut fields, "requests_per_second");
    let open_requests = limit(reader, &mut fields, "open_requests");
    let priority = fields.optional(reader, "priority", 0, |reader, place| {
        reader.number(place, PRIORITY)
    });
    let weight = fields.optional(reader, "weight", 1, |reader, place| {
        reader.number(place, WEIGHT)
    });
    fields.reject_unknown(reader);
    Some(Account {
        id: id?,
        key_digests: key_digests?,
        requests_per_second: requests_per_second?,
        open_requests: open_requests?,
        priority: priority?,
        weight: weight?,
    })
}

fn limit(reader: &mut Reader, fields: &mut Fields<'_>, key: &'static str) -> Option<u32> {
    fields.required(reader, key, |reader, place| reader.number(place, QUOTA))
}

fn duration(reader: &mut Reader, fields: &mut Fields<'_>, key: &'static str) -> Option<u32> {
    fields.required(reader, key, |reader, place| {
        reader.number(place, DURATION_MS)
    })
}

fn service(reader: &mut Reader, place: &Place<'_>, names: &mut Names) -> Option<Service> {
    let mut fields = reader.fields(place)?;
    let name = fields.required(reader, "name", |reader, place| {
        let name: id::Service = rule::name(reader, place)?;
        names.services.insert(reader, place, name.as_str());
        Some(name)
    });
    let replicas = fields.required(reader, "replicas", |reader, place| {
        reader.number(place, REPLICAS)
    });
    let model_place = fields.find("model");
    let plain_place = fields.find("plain");
    fields.reject_unknown(reader);
    let kind = match (model_place, plain_place) {
        (Some(model_place), None) => model(reader, &model_place, names).map(Kind::Model),
        (None, Some(plain_place)) => plain(reader, &plain_place).map(Kind::Plain),
        (Some(_), Some(_)) => {
            reader.fault(place, "has both `model` and `plain`", "keep one of the two");
            None
        }
        (None, None) => {
            reader.fault(
                place,
                "has neither `model` nor `plain`",
                "add one of the two",
            );
            None
        }
    };
    Some(Service {
        name: name?,
        replicas: replicas?,
        kind: kind?,
    })
}

fn model(reader: &mut Reader, place: &Place<'_>, names: &mut Names) -> Option<Model> {
    let fencings = [("checked", Fencing::Checked), ("ignored", Fencing::Ignored)];
    let mut fields = reader.fields(place)?;
    let name = fields.required(reader, "name", |reader, place| {
        let name: id::Model = rule::model_name(reader, place)?;
        names.models.insert(reader, place, name.as_str());
        Some(name)
    });
    let version = fields.required(reader, "version", rule::name);
    let adapters = fields.optional(reader, "adapters", Vec::new(), adapters);
    let loads_at_once = fields.required(reader, "loads_at_once", |reader, place| {
        reader.number(place, REPLICAS)
    });
    let fencing = fields.required(reader, "fencing", |reader, place| {
        reader.choice(place, &fencings)
    });
    let first_token_ms = duration(reader, &mut fields, "first_token_ms");
    fields.reject_unknown(reader);
    Some(Model {
        name: name?,
        version: version?,
        adapters: adapters?,
        loads_at_once: loads_at_once?,
        fencing: fencing?,
        first_token_ms: first_token_ms?,
    })
}

fn adapters(reader: &mut Reader, place: &Place<'_>) -> Option<Vec<id::Adapter>> {
    let mut unique = Unique::new("name", "give each adapter a unique name");
    reader.list(place, |reader, place| {
        let adapter: id::Adapter = rule::name(reader, place)?;
        unique.insert(reader, place, adapter.as_str());
        Some(adapter)
    })
}

fn plain(reader: &mut Reader, place: &Place<'_>) -> Option<Plain> {
    let mut unique = Unique::new("route", "keep one route for each method and path");
    let mut fields = reader.fields(place)?;
    let routes = fields.optional(reader, "routes", Vec::new(), |reader, place| {
        reader.list(place, |reader, place| {
            let route = route(reader, place)?;
            unique.insert(reader, place, format!("{} {}", route.method, route.path));
            Some(route)
        })
    });
    let timeout_ms = duration(reader, &mut fields, "timeout_ms");
    fields.reject_unknown(reader);
    Some(Plain {
        routes: routes?,
        timeout_ms: timeout_ms?,
    })
}

fn route(reader: &mut Reader, place: &Place<'_>) -> Option<Route> {
    let mut fields = reader.fields(place)?;
    let method = fields.required(reader, "method", rule::method);
    let path = fields.required(reader, "path", rule::path);
    let idempotent = fields.required(reader, "idempotent", Reader::flag);
    fields.reject_unknown(reader);
    Some(Route {
        method: method?,
        path: path?,
        idempotent: idempotent?,
    })
}
