//! Numbers at the edges of their types and beyond, and deeply nested values, in all that nodes read:
//! they end no process and no task, and nothing else is served worse.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use serde_json::json;

use super::platform::fleet::Fleet;
use super::platform::history::Moment;
use super::platform::server::call;
use super::{assert_no_violations, until_all_served};

/// Processing time of a request at a backend server.
const SERVICE_TIME: Duration = Duration::from_millis(20);
/// Services and their numbers of hosts; the first service is keyed.
const SERVICES: &[(&str, u32)] = &[("books", 2), ("maps", 2)];
/// Texts of numbers.
const NUMBERS: &[&str] = &[
    "0",
    "-0",
    "-1",
    "NaN",
    "-NaN",
    "inf",
    "-inf",
    "1e-320",
    "1e18",
    "1.9e19",
    "1e300",
    "1e999",
    "2147483648",
    "4294967296",
    "9223372036854775807",
    "9223372036854775808",
    "18446744073709551615",
    "18446744073709551616",
    "99999999999999999999999999999999999999999",
    "",
    " ",
    "0x10",
    "1_0",
];
/// Depth of nested values.
const DEPTH: usize = 20_000;

/// Checks that no process and no task has ended, and that everything is served.
async fn assert_unharmed(fleet: &mut Fleet, what: &str) {
    for host in 0..fleet.hosts.len() {
        assert!(fleet.hosts[host].node.as_mut().unwrap().is_running(), "a node has ended: {what}");
        let log = fleet.log(host);
        let panic = log.lines().find(|line| line.contains("panicked"));
        assert!(panic.is_none(), "{what}: {panic:?}");
    }
    until_all_served(fleet, 0).await;
    let result = fleet.call(0, "maps", 1, false).await;
    assert_eq!(result.status, 200, "{what}: {result:?}");
}

async fn call_all(fleet: &Fleet) {
    for host in 0..fleet.hosts.len() {
        for service in ["books", "maps"] {
            for key in [0, 20_000, 40_000, 60_000] {
                fleet.call(host, service, key, false).await;
            }
        }
    }
}

/// Also in answers to health checks, which a node asks for when it starts.
#[tokio::test(flavor = "multi_thread")]
async fn an_odd_number_in_a_header_of_a_server_ends_a_task_of_its_node() {
    const HEADERS: &[&str] = &["keep-alive", "x-server-load", "server-limit", "x-cold-ms"];
    let mut fleet = Fleet::start(SERVICES, SERVICE_TIME).await;
    for name in HEADERS {
        for number in NUMBERS {
            let value = match *name {
                "keep-alive" => format!("timeout={number}"),
                "x-server-load" => format!("1,{number},6,{number}"),
                _ => (*number).to_owned(),
            };
            let value: &'static str = value.leak();
            for host in [0, 2] {
                *fleet.hosts[host].server.as_ref().unwrap().headers.lock() = vec![(name, value)];
            }
            fleet.call(1, "maps", 1, false).await;
            fleet.call(2, "books", 1, false).await;
            fleet.call(3, "books", 60_000, false).await;
        }
        for host in [0, 2] {
            fleet.hosts[host].node = None;
            fleet.start_node(host);
            tokio::time::sleep(Duration::from_millis(700)).await;
            fleet.hosts[host].server.as_ref().unwrap().headers.lock().clear();
        }
        assert_unharmed(&mut fleet, name).await;
    }
    // A node that attaches its server again asks for its state.
    for number in ["1e18", "1e22", "1e300", "NaN", "-1"] {
        let server = fleet.hosts[2].server.clone().unwrap();
        *server.headers.lock() = vec![("x-cold-ms", number)];
        fleet.hosts[2].node = None;
        fleet.start_node(2);
        tokio::time::sleep(Duration::from_millis(1500)).await;
        server.headers.lock().clear();
        assert_unharmed(&mut fleet, number).await;
    }
    assert_no_violations(&fleet);
}

/// The test reports in place of the server, so that each odd report is the newest one of the server
/// itself, or one of a later start under another ID.
#[tokio::test(flavor = "multi_thread")]
async fn an_odd_number_in_a_report_ends_a_task_of_its_node() {
    let mut fleet = Fleet::start(SERVICES, SERVICE_TIME).await;
    let server = fleet.hosts[2].server.clone().unwrap();
    let node = SocketAddr::new(fleet.hosts[2].ip.into(), 8306);
    let zone = fleet.hosts[2].server_config.zone.clone();
    let numbers = NUMBERS.iter().filter(|n| serde_json::from_str::<serde_json::Number>(n).is_ok());
    let nested = format!("{}{}", "[".repeat(DEPTH), "]".repeat(DEPTH));
    let numbers: Vec<&str> = numbers.copied().chain(["70000", &nested]).collect();
    server.stop_reports();
    let mut last = 1000;
    let mut report = async |id: &str, field: &str, number: &str| {
        last += 1;
        let value = |name: &str, usual: String| {
            let text = if name == field { number.to_owned() } else { usual };
            format!(r#""{name}":{text}"#)
        };
        let body = format!(
            r#"{{{},{},"info":{{"service":"maps","version":"v1","zone":"{zone}",{}}},
            "status":{{"state":"ready",{},{}}}}}"#,
            value("address", "\"10.0.0.1:70000\"".to_owned()),
            value("born", server.born_ms().to_string()),
            value("slots", "6".to_owned()),
            value("sequence", last.to_string()),
            value("cold-remaining-s", "0".to_owned()),
        );
        let path = format!("/-/instances/{id}");
        call(node, "PUT", &path, body).await.expect("the node answers a report");
    };
    for field in ["cold-remaining-s", "slots", "address", "born"] {
        for number in &numbers {
            let id = if field == "born" { "i-odd" } else { server.id.as_str() };
            report(id, field, number).await;
            report(&server.id, "", "").await;
            let odd = format!(r#"{{"holds":[[0,{number},{number}]],"freed":[[{number},1,""]]}}"#);
            call(node, "PUT", "/-/instances/i-odd", odd).await.expect("the node answers a report");
        }
        let from = Moment::now();
        for _ in 0..20 {
            fleet.call(2, "maps", 1, false).await;
        }
        assert_unharmed(&mut fleet, field).await;
        assert!(server.stated.lock().arrivals_since(from) > 0, "{field}: the server gets no work");
        report(&server.id, "", "").await;
    }
    assert_no_violations(&fleet);
}

/// Another writer leaves odd records of members, keys, claims and suspects in the table, and among
/// the operators' records.
#[tokio::test(flavor = "multi_thread")]
async fn an_odd_record_ends_the_nodes_that_read_it() {
    let mut fleet = Fleet::start(SERVICES, SERVICE_TIME).await;
    let members = fleet.store.newest_matching("/node/");
    let (topic, (key, value)) = members.last().expect("nodes have written their records").clone();
    let (era, _) = key.split_once("/node/").unwrap();
    let member: serde_json::Value = serde_json::from_slice(&value).unwrap();
    let holder = member["holder"].as_str().unwrap().to_owned();
    let nested = format!("{}{}", "[".repeat(DEPTH), "]".repeat(DEPTH));
    let mut odd: Vec<String> = vec![nested.clone(), format!(r#"{{"a":{nested}}}"#), "null".into()];
    for field in member.as_object().unwrap().keys() {
        let mut other = member.clone();
        // A holder is written as its name and its incarnation.
        other["holder"] = json!(format!("odd{}", &holder[holder.rfind('/').unwrap()..]));
        other[field] = json!("@");
        let text = other.to_string();
        let numbers = NUMBERS.iter().map(|number| text.replace(r#""@""#, number));
        odd.extend(numbers);
        odd.push(text.replace(r#""@""#, &nested));
        odd.push(text.replace(r#""@""#, r#""10.0.0.1:70000""#));
        odd.push(text.replace(r#""@""#, r#""10.0.0.1:0""#));
    }
    let names = ["node/odd", "keys/books/0", "keys/books/99999999999999", "claim/odd", "suspect/x"];
    for (number, text) in odd.iter().enumerate() {
        for name in names {
            // A record of keys that can be read would be one of the table's own.
            if !name.starts_with("keys/books/0") || number < 3 {
                fleet.store.append_one(&topic, &format!("{era}/{name}"), Bytes::from(text.clone()));
            }
        }
        for name in ["exempt/1", "evacuate/\u{1}", "limits", "config/x"] {
            fleet.store.publish(name, text);
        }
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    for name in names.iter().filter(|name| !name.starts_with("keys/books/0")) {
        fleet.store.append_one(&topic, &format!("{era}/{name}"), Bytes::new());
    }
    call_all(&fleet).await;
    assert_unharmed(&mut fleet, "records").await;
    // A node that starts reads all of them at once.
    fleet.hosts[3].node = None;
    fleet.start_node(3);
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert_unharmed(&mut fleet, "records read at the start").await;
    assert_no_violations(&fleet);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_odd_number_in_the_configuration_ends_a_task() {
    let mut fleet = Fleet::start(SERVICES, SERVICE_TIME).await;
    const ROWS: [&str; 4] = [
        r#"["odd","odd.example","/get/","safe",@,1.0,2,2,"maps"]"#,
        r#"["odd","odd.example","/get/","safe",2.5,@,2,2,"maps"]"#,
        r#"["odd","odd.example","/get/","safe",@,@,2,2,"maps"]"#,
        r#"["odd","odd.example","/get/","safe",2.5,1.0,@,@,"maps"]"#,
    ];
    for number in ["1e18", "1.8e19", "1e300", "18446744073709551615", "4294967295", "-1", "0"] {
        for row in ROWS {
            fleet.publish(SERVICES, &row.replace('@', number));
            tokio::time::sleep(Duration::from_millis(500)).await;
            // Whether such a route is served is not the matter here.
            let request = call_without_deadline(fleet.hosts[0].ip, "/get/x");
            let _ = tokio::time::timeout(Duration::from_secs(1), request).await;
        }
        fleet.publish(SERVICES, "");
        assert_unharmed(&mut fleet, number).await;
    }
    assert_no_violations(&fleet);
}

/// Sends a request of a caller that states no deadline.
async fn call_without_deadline(ip: std::net::Ipv4Addr, path: &str) -> Option<u16> {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let mut stream = tokio::net::TcpStream::connect((ip, 8304)).await.ok()?;
    let head = format!("GET {path} HTTP/1.1\r\nhost: odd.example\r\nx-request-id: odd-1\r\n\r\n");
    stream.write_all(head.as_bytes()).await.ok()?;
    let mut buffer = [0; 512];
    stream.read(&mut buffer).await.ok().map(|size| size as u16)
}
