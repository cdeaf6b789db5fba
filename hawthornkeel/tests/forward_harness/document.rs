//! Document of the harness's tests.

/// Returns a document whose route without stages has the path prefix `prefix`.
pub fn document(version: u32, prefix: &str) -> String {
    let route = |name: &str, prefix: &str, kind: &str, extra: &str| {
        format!(
            r#"{{"name":"{name}","hostname":"a.example","path_prefix":"{prefix}","route_type":"{kind}",
            "timeout_ms":5000,"target_latency_ms":2000,"service":"ledger","max_attempts":2{extra}}}"#
        )
    };
    let staged = r#","stages":[{"service":"portal","after":[],"byte_count":1000}]"#;
    let chained = r#","stages":[{"service":"portal","after":[],"byte_count":1000},
        {"service":"portal","after":[0],"byte_count":1000}]"#;
    let routes = [
        route("lots", prefix, "idempotent", ""),
        route("hedged", "/hedged/", "idempotent", ""),
        route("sign", "/sign/", "non_idempotent", ""),
        route("events", "/events/", "streaming", r#","stream_resumption":true"#),
        route("chain", "/chain/", "idempotent", chained),
        route("review", "/review/", "idempotent", staged),
        route("staged", "/staged/", "streaming", &format!(r#","stream_resumption":true{staged}"#)),
        route("talk", "/talk/", "streaming", r#","session_affinity":true"#),
        route("open", "/open/", "idempotent", r#","public":true"#),
    ];
    // Its callers wait for 2 s between events, and no second target may run a request.
    let pausing = r#"{"name":"pausing","hostname":"a.example","path_prefix":"/pausing/",
        "route_type":"streaming","timeout_ms":5000,"target_latency_ms":100,"service":"ledger",
        "max_attempts":1,"stream_resumption":true}"#;
    // Callers wait for four times the objective between events.
    let paused = |name: &str, objective: u32, extra: &str| {
        format!(
            r#"{{"name":"{name}","hostname":"a.example","path_prefix":"/{name}/",
            "route_type":"streaming","timeout_ms":5000,"target_latency_ms":{objective},"target_gap_ms":300,
            "service":"ledger","max_attempts":2,"stream_resumption":true{extra}}}"#
        )
    };
    let paused = [paused("paused", 800, ""), paused("paused-staged", 2_000, staged)].join(",");
    let pieces = r#""pieces":{"slots":1,"queue":2,"batch":8,"call_overhead_ms":10.0,
        "item_time_ms":1.0,"headroom_mb":41.0,"handle_ttl_s":4.0,"link_bandwidth_mbps":10000}"#;
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{{"name":"ledger"}},
        {{"name":"portal",{pieces}}}],"tenants":[{{"name":"makers","api_keys":["k1"]}}]}}"#,
        [&routes.join(","), pausing, &paused].join(",")
    )
}
