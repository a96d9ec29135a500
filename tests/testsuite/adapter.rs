//! The adapter to the platform: decoding of valid and invalid settings, orders and reports, and a
//! check that names of the platform's protocols occur nowhere else in the source.

use std::path::Path;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use kelpwind::core::codes::Code;
use kelpwind::core::ids::{Offset, Token};
use kelpwind::core::routes::GrantMode;
use kelpwind::mesh::platform_api::{
    CallerRequest, Departure, KeyAssignment, OperatorOrder, ServerMessage,
};
use kelpwind::net::memory::{MemoryAccount, Place};
use kelpwind::platform;
use kelpwind::table::Record;
use kelpwind::table::keys::Span;
use kelpwind::util::error::format_chain;
use rstest::rstest;

pub(crate) const SETTINGS: &str = "\
grants=call
self.node-name=sidecar-a-1
self.ip=10.1.0.8
self.zone=zone-a
self.bootstrap=true
self.app-addr=10.1.0.8:8301
self.service=books
self.limits.memory-mb=260
network.listen.outbound=10.1.0.8:8304
network.listen.ready-address=10.1.0.8:8302
network.listen.control=10.1.0.8:8306
network.port-range=7620,7635
network.seeds=
network.zones.zone-a=west
network.zones.zone-b=west
platform.platform.address=10.200.1.7:8309
terms.bounds.grace-s=6
terms.bounds.hold-max-s=10
terms.bounds.budget-window-s=10
terms.bounds.retry-budget-ratio=0.2
terms.bounds.retry-budget-slack=64
some.unknown.field=1
";

#[test]
fn valid_settings_are_decoded() {
    let settings = platform::parse_settings(SETTINGS).unwrap();
    assert_eq!(settings.node.as_str(), "sidecar-a-1.10.1.0.8");
    assert_eq!(settings.listen.peers.to_string(), "10.1.0.8:7620");
    assert_eq!(settings.region(&settings.domain), "west");
    assert_eq!(settings.bounds.max_grant, Duration::from_secs(10));
    assert!(settings.bootstrap);
}

#[test]
fn all_errors_of_the_settings_are_reported_together() {
    let broken = SETTINGS
        .replace("self.zone=zone-a", "self.zone=Zone A")
        .replace("self.service=books\n", "")
        .replace("grace-s=6", "grace-s=-6")
        .replace("7620,7635", "7635,7620")
        .replace("grants=call", "grants call");
    let error = platform::parse_settings(&broken).unwrap_err();
    assert_eq!(
        format_chain(&error),
        "error: failed to read the settings [600]

Caused by:
  'grants call' is not of the form name=value
  self.service is missing
  self.zone 'Zone A': 'Zone A' is not a name: 1 to 63 of a-z, 0-9, '-', '_' and '.', beginning \
         with a letter or digit
  network.port-range '7635,7620': '7635,7620' is not a port range of the form FIRST,LAST
  terms.bounds.grace-s '-6': not a number of seconds from 0 to 86400"
    );
}

fn record(key: &str, value: Option<&str>) -> Record {
    let value = value.map(|v| Bytes::copy_from_slice(v.as_bytes()));
    Record { offset: Offset(3), key: key.to_owned(), value }
}

const CONFIG: &str = r#"{"version":7,
"routes":{"columns":["name","host","path-prefix","kind","timeout-s","aim-s","priority","weighted-services","attempts","service"],
"rows":[["r-1","a.example","/x/","safe",1.2,0.4,2,[{"service":"books","weight":90},{"service":"maps","weight":10}],2,null],
["r-2","a.example","/x/y/","unsafe",1.5,0.5,1,null,2,"maps"]]},
"services":{"columns":["name","health-path","max-connections","protocol","tls","cold-start-s","cold-per-s","sharded","warm-s","grants"],
"rows":[["books","/healthz",130,"h1",false,3.0,16.0,true,2.0,"call"],["maps","/healthz",130,"h1",false,3.0,16.0,null,null,null]]},
"limits":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-s":3,"idle-timeout-s":15}}"#;

/// The default of the memory for bodies has room for the largest body on the smallest host.
#[test]
fn limits_of_the_process_follow_from_the_host() {
    let small = format!("{SETTINGS}self.limits.memory-mb=160\nself.limits.max-fds=4100\n");
    let limits = platform::parse_settings(&small).unwrap().limits;
    assert_eq!(limits.body_memory.0, 84 << 20);
    let account = MemoryAccount::new(limits.body_memory);
    assert!(account.try_take(Place::RequestBody, (64 << 20) + (128 << 10)).is_some());
    assert_eq!(limits.connections, 1344);
    assert_eq!(limits.body_stall, Duration::from_secs(2));
    assert_eq!(limits.answer_stall, Duration::from_secs(15));
    let stated = format!(
        "{small}limits.body-memory-bytes=2000000\nlimits.connections=9\nlimits.body-stall-s=0.5\n\
         limits.answer-stall-s=4\n"
    );
    let limits = platform::parse_settings(&stated).unwrap().limits;
    assert_eq!((limits.body_memory.0, limits.connections), (2_000_000, 9));
    assert_eq!(limits.body_stall, Duration::from_millis(500));
    assert_eq!(limits.answer_stall, Duration::from_secs(4));
}

/// A limit that cannot work must not bring a node up without one.
#[rstest]
#[case::memory("self.limits.memory-mb=40", "self.limits.memory-mb '40': not a number from 64 to")]
#[case::fds("self.limits.max-fds=200", "self.limits.max-fds '200': not a number from 201 to")]
#[case::no_number("self.limits.max-fds=many", "self.limits.max-fds 'many': invalid digit")]
#[case::bodies(
    "limits.body-memory-bytes=1000",
    "limits.body-memory-bytes '1000': not a number from 1048576 to"
)]
#[case::more_than_the_host(
    "limits.body-memory-bytes=600000000",
    "limits.body-memory-bytes '600000000': not a number from 1048576 to 272629760"
)]
#[case::body_stall("limits.body-stall-s=0", "limits.body-stall-s '0': not a number of seconds")]
#[case::answer_stall(
    "limits.answer-stall-s=-1",
    "limits.answer-stall-s '-1': not a number of seconds"
)]
#[case::connections(
    "limits.connections=4000",
    "limits.connections '4000': not a number from 1 to 3900"
)]
fn an_invalid_limit_of_the_process_is_an_error(#[case] line: &str, #[case] text: &str) {
    let error = platform::parse_settings(&format!("{SETTINGS}{line}\n")).unwrap_err();
    let error = format_chain(&error);
    assert!(error.contains(text), "{error}");
}

#[test]
fn a_configuration_is_decoded_and_the_longest_prefix_wins() {
    let Ok(OperatorOrder::Routes(routes)) = platform::decode_order(&record("config", Some(CONFIG)))
    else {
        panic!("the configuration was not decoded");
    };
    assert_eq!(routes.version.0, 7);
    let find = |host: &str, path: &str| routes.find(host, path).map(|r| r.name.clone());
    assert_eq!(find("a.example", "/x/1").as_deref(), Some("r-1"));
    assert_eq!(find("A.example:80", "/x/y/1").as_deref(), Some("r-2"));
    assert_eq!(find("a.example", "/x"), None);
    assert_eq!(find("b.example", "/x/1"), None);
    let route = routes.find("a.example", "/x/1").unwrap();
    assert!(route.is_idempotent());
    assert_eq!(route.timeout, Duration::from_millis(1200));
    assert_eq!(route.services.len(), 2);
    assert!(!routes.find("a.example", "/x/y/1").unwrap().is_idempotent());
    assert!(routes.is_keyed(&"books".parse().unwrap()));
    assert!(!routes.is_keyed(&"maps".parse().unwrap()));
}

/// Downloads that count as requests that may run once are not repeated after a failure, and their
/// servers go on with them after their callers have left.
#[test]
fn downloads_may_be_repeated_and_are_bulk() {
    let config = CONFIG.replace(r#""safe",1.2"#, r#""download",1.2"#);
    let Ok(OperatorOrder::Routes(routes)) =
        platform::decode_order(&record("config", Some(&config)))
    else {
        panic!("the configuration was not decoded");
    };
    let route = routes.find("a.example", "/x/1").unwrap();
    assert!(route.is_idempotent() && route.bulk && routes.has_bulk());
    assert!(!routes.find("a.example", "/x/y/1").unwrap().bulk);
}

#[test]
fn a_failure_domain_is_drained_and_undrained() {
    let decode = |value| platform::decode_order(&record("evacuate/zone-a", value));
    let domain = || "zone-a".parse().unwrap();
    assert_eq!(decode(Some("{}")), Ok(OperatorOrder::Drained(domain(), true)));
    assert_eq!(decode(None), Ok(OperatorOrder::Drained(domain(), false)));
    assert_eq!(platform::decode_order(&record("note", Some("x"))), Ok(OperatorOrder::Other));
}

#[test]
fn an_invalid_configuration_is_rejected() {
    let truncated = &CONFIG[..CONFIG.len() / 2];
    let no_service = CONFIG.replace(r#"null,2,"maps""#, "null,2,null");
    let negative_timeout = CONFIG.replace("1.5,0.5", "-1.5,0.5");
    for broken in [truncated, &no_service, &negative_timeout] {
        assert!(platform::decode_order(&record("config", Some(broken))).is_err());
    }
}

const REPORT: &str = r#"{"address":"10.1.0.8:8301","born":1700000000123,
"info":{"service":"books","version":"v1","zone":"zone-a","slots":12},
"status":{"state":"ready","sequence":4,"cold-remaining-s":1.5}}"#;

#[test]
fn a_report_is_decoded() {
    let message = platform::decode_report(&Method::PUT, "/-/instances/i-1", REPORT.as_bytes());
    let Ok(ServerMessage::Report(report)) = message else { panic!("the report was not decoded") };
    assert_eq!(
        (report.instance.id.as_str(), report.instance.started_ms),
        ("i-1", 1_700_000_000_123)
    );
    assert_eq!((report.number, report.slots.0, report.draining), (4, 12, false));
    assert_eq!(report.cold_left, Duration::from_millis(1500));
    let leaving = platform::decode_report(&Method::DELETE, "/-/instances/i-1", b"");
    let departure = Departure { id: "i-1".to_owned(), started_ms: None };
    assert_eq!(leaving, Ok(ServerMessage::Leaving(departure)));
    let body = br#"{"born":1775712423428}"#;
    let leaving = platform::decode_report(&Method::DELETE, "/-/instances/i-1", body);
    let departure = Departure { id: "i-1".to_owned(), started_ms: Some(1_775_712_423_428) };
    assert_eq!(leaving, Ok(ServerMessage::Leaving(departure)));
}

#[test]
fn an_invalid_report_is_rejected() {
    let broken = [
        REPORT.replace("ready", "asleep"),
        REPORT.replace(r#""slots":12"#, r#""slots":"twelve""#),
        REPORT.replace(r#""service":"books","#, ""),
        REPORT.replace(r#""sequence":4"#, r#""sequence":-4"#),
        REPORT.replace("1.5", "-1.5"),
        "\u{0}\u{1}".to_owned(),
    ];
    for raw in broken {
        let message = platform::decode_report(&Method::PUT, "/-/instances/i-1", raw.as_bytes());
        assert!(message.is_err(), "{raw}");
    }
    for path in ["/-/instances/", "/-/instances/a/b", "/else"] {
        assert!(platform::decode_report(&Method::PUT, path, REPORT.as_bytes()).is_err());
    }
    assert!(platform::decode_report(&Method::POST, "/-/instances/i-1", b"").is_err());
}

fn with_keys(holds: &str, freed: &str) -> String {
    let rows = format!(r#""holds":{holds},"freed":{freed},"info""#);
    REPORT.replacen(r#""info""#, &rows, 1)
}

#[test]
fn the_keys_in_a_report_are_decoded() {
    let raw = with_keys(r#"[[100,199,8],[0,9,7]]"#, r#"[[10,99,"5c0e"]]"#);
    let message = platform::decode_report(&Method::PUT, "/-/instances/i-1", raw.as_bytes());
    let Ok(ServerMessage::Report(report)) = message else { panic!("the report was not decoded") };
    let keys = report.keys.expect("keys");
    let span = |first, last| Span { first, last };
    assert_eq!(keys.held, vec![(span(0, 9), Token(7)), (span(100, 199), Token(8))]);
    assert_eq!(keys.released, vec![(span(10, 99), "5c0e".to_owned())]);
    let message = platform::decode_report(&Method::PUT, "/-/instances/i-1", REPORT.as_bytes());
    let Ok(ServerMessage::Report(report)) = message else { panic!("the report was not decoded") };
    assert_eq!(report.keys, None);
}

#[test]
fn invalid_keys_in_a_report_are_rejected() {
    let broken = [
        (r#"[[9,3,1]]"#, "[]"),
        (r#"[[0,10,1],[10,20,1]]"#, "[]"),
        (r#"[[0,65536,1]]"#, "[]"),
        (r#"[[-1,6,1]]"#, "[]"),
        (r#"[[0,10]]"#, "[]"),
        (r#"[[0,10,1,2]]"#, "[]"),
        (r#"[[0,10,1.5]]"#, "[]"),
        ("[]", r#"[[5,4,"x"]]"#),
        ("[]", r#"[[0,1,7]]"#),
        ("7", "[]"),
    ];
    for (holds, freed) in broken {
        let raw = with_keys(holds, freed);
        let message = platform::decode_report(&Method::PUT, "/-/instances/i-1", raw.as_bytes());
        assert!(message.is_err(), "{raw}");
    }
}

#[test]
fn the_answer_to_a_report_lists_all_keys_to_hold() {
    let span = |first, last| Span { first, last };
    let assignment = KeyAssignment {
        spans: vec![
            (span(0, 4095), Token(7), None),
            (span(9000, 9999), Token(12), Some("7a21".to_owned())),
        ],
        duration: Duration::from_micros(1_234_567),
    };
    assert_eq!(
        &platform::encode_report_answer(Some(&assignment))[..],
        br#"{"holds":[[0,4095,7,""],[9000,9999,12,"7a21"]],"hold-s":1.234}"#
    );
    assert_eq!(&platform::encode_report_answer(None)[..], b"{}");
}

#[test]
fn each_service_says_how_it_is_granted_keys() {
    let mode = |config: &str| {
        let order = platform::decode_order(&record("config", Some(config)));
        let Ok(OperatorOrder::Routes(routes)) = order else { panic!("{order:?}") };
        routes.grant_mode(&"books".parse().unwrap())
    };
    assert_eq!(mode(CONFIG), GrantMode::Calls);
    assert_eq!(mode(&CONFIG.replace(r#""call"]"#, r#""heartbeat"]"#)), GrantMode::Reports);
    assert_eq!(mode(&CONFIG.replace(r#""call"]"#, "null]")), GrantMode::Calls);
    let unknown = CONFIG.replace(r#""call"]"#, r#""pigeon"]"#);
    assert!(platform::decode_order(&record("config", Some(&unknown))).is_err());
}

#[test]
fn the_interval_between_reports_is_read_from_the_settings() {
    let interval = |text: &str| platform::parse_settings(text).map(|s| s.report_interval);
    assert_eq!(interval(SETTINGS).unwrap(), Duration::from_secs(1));
    let stated =
        |value: &str| SETTINGS.replace("grants=call", &format!("platform.heartbeat-s={value}"));
    assert_eq!(interval(&stated("0.87")).unwrap(), Duration::from_millis(870));
    assert!(interval(&stated("-1")).is_err());
    assert!(interval(&stated("soon")).is_err());
}

fn decode_request(deadline: Option<&str>) -> Result<CallerRequest, Code> {
    let request = http::Request::builder().uri("/x/y").header("host", "a.example");
    let request = request.header("x-request-id", "9c41");
    let request = match deadline {
        Some(deadline) => request.header("x-deadline-ms", deadline),
        None => request,
    };
    platform::decode_request(&request.body(()).unwrap().into_parts().0)
}

#[test]
fn every_number_is_a_valid_deadline() {
    let remaining = |deadline| decode_request(deadline).map(|call| call.remaining);
    let millis = |ms| Ok(Some(Duration::from_millis(ms)));
    for (deadline, expected) in [("800", 800), (" 800.0 ", 800), ("0", 0), ("-5", 0)] {
        assert_eq!(remaining(Some(deadline)), millis(expected), "{deadline}");
    }
    for deadline in [None, Some("1e30"), Some("99999999999999999999999")] {
        assert_eq!(remaining(deadline), Ok(None), "{deadline:?}");
    }
    for deadline in ["", "soon", "NaN", "800 ms"] {
        assert_eq!(remaining(Some(deadline)), Err(Code::BadRequest), "{deadline}");
    }
}

/// Names of the platform's protocols that must not occur outside the adapter.
const WIRE_NAMES: &[&str] = &[
    "x-request-id",
    "x-server-load",
    "x-cold-ms",
    "x-handover",
    "/-/readyz",
    "heartbeat-address",
    "x-server-signature",
    "x-not-executed",
    "x-expected-instance",
    "x-shard-key",
    "x-caller-service",
    "x-deadline-ms",
    "x-instance-id",
    "x-credential",
    "x-tenant",
    "log-append",
    "log-newest",
    "log-read",
    "keyed.op",
    "path-prefix",
    "weighted-services",
    "cold-remaining-s",
    "kelpwind_boot",
    "/-/grant",
    "/-/release",
    "/-/instances",
];

#[test]
fn protocol_names_occur_only_in_the_adapter() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    for folder in ["src", "crates"] {
        assert_no_wire_names(&root.join(folder));
    }
}

fn assert_no_wire_names(folder: &Path) {
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            assert_no_wire_names(&path);
            continue;
        }
        let text = std::fs::read_to_string(&path).unwrap_or_default().to_lowercase();
        for name in WIRE_NAMES {
            assert!(!text.contains(name), "{} contains '{name}'", path.display());
        }
    }
}
