//! A request goes from a caller to an endpoint through separate processes.

mod support;

use http::{Method, StatusCode};
use rstest::rstest;

const PROMPT: &str = "The history of the partners at the studio in Bergen.";

struct Deployment {
    _stand_ins: Vec<support::StandIn>,
    hosts: Vec<support::Host>,
}

async fn deployment() -> Deployment {
    let platform = support::stand_in("platform", &[]);
    let address = platform.address.to_string();
    let engine = |id: &str, zone: &str| {
        let arguments = [
            "--id",
            id,
            "--zone",
            zone,
            "--service",
            "match-llm",
            "--model",
            "match",
            "--version",
            "v1",
            "--platform",
            &address,
        ];
        support::stand_in("engine", &arguments)
    };
    let engines = [
        engine("engine-1", "bergen-a"),
        engine("engine-2", "bergen-b"),
    ];
    let service = support::stand_in(
        "service",
        &[
            "--id",
            "app-1",
            "--zone",
            "bergen-a",
            "--service",
            "studio-app",
            "--platform",
            &address,
        ],
    );
    let hosts = vec![
        support::Host::start(
            "entry-1",
            &support::settings("entry-1", "bergen-a", &address, &[]),
        ),
        support::Host::start(
            "entry-2",
            &support::settings("entry-2", "bergen-b", &address, &[]),
        ),
    ];
    support::publish(platform.address, &support::document(2));
    for host in &hosts {
        host.wait_until(|status| {
            let loaded = |e: &papayayard::operators::Endpoint| e.version.is_some();
            status.revision.0 == 1 && status.endpoints.iter().filter(|e| loaded(e)).count() == 2
        })
        .await;
    }
    let mut stand_ins = vec![platform, service];
    stand_ins.extend(engines);
    Deployment {
        _stand_ins: stand_ins,
        hosts,
    }
}

#[rstest]
#[tokio::test]
async fn a_streamed_completion_comes_back_whole_through_every_host() {
    let deployment = deployment().await;
    let body = format!(r#"{{"model":"match","prompt":"{PROMPT}","stream":true,"max_tokens":8}}"#);
    for host in &deployment.hosts {
        let reply = support::call(host.callers, Method::POST, "/v1/completions", &body)
            .await
            .expect("the exchange is whole");
        let text = String::from_utf8_lossy(&reply.body).into_owned();
        assert_eq!(reply.status, StatusCode::OK, "{text}");
        assert!(text.ends_with("data: [DONE]\n\n"), "{text}");
        let positions: Vec<u64> = text
            .lines()
            .filter_map(|line| line.strip_prefix("data: "))
            .filter_map(|data| serde_json::from_str::<serde_json::Value>(data).ok())
            .filter(|chunk| chunk["tokens"].as_u64() > Some(0))
            .filter_map(|chunk| chunk["position"].as_u64())
            .collect();
        assert_eq!(positions, (0..8).collect::<Vec<u64>>());
    }
}

#[rstest]
#[tokio::test]
async fn a_plain_service_answers_through_every_host() {
    let deployment = deployment().await;
    for host in &deployment.hosts {
        let path = "/services/studio-app/schedule?day=monday";
        let reply = support::call(host.callers, Method::GET, path, "")
            .await
            .expect("the exchange is whole");
        assert_eq!(reply.status, StatusCode::OK);
    }
}
