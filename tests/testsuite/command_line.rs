//! The command line: exit codes, error messages with their causes, and the documented result codes.

use kelpwind::core::codes::Code;
use kelpwind_test_support::cluster::command;
use rstest::rstest;

use crate::support::{PROGRAM, THREE_TARGETS, data_path, start_cluster};

fn run(args: &[&str]) -> (i32, String, String) {
    command(PROGRAM, args, &[("KELPWIND_NODE", "127.0.0.1:1")])
}

#[test]
fn the_closest_command_is_suggested_for_a_misspelt_one() {
    let (code, _, errors) = run(&["statsu"]);
    assert_eq!(code, 2);
    assert!(errors.contains("did you mean 'status'?"), "{errors}");
}

#[test]
fn all_invalid_settings_are_reported_at_once() {
    let (code, _, errors) = run(&["node", "--name", "N1", "--listen", "nowhere"]);
    assert_eq!(code, 1);
    for part in ["[600]", "--name 'N1'", "--listen 'nowhere'", "KELPWIND_PEER is missing"] {
        assert!(errors.contains(part), "{part} is not reported: {errors}");
    }
}

#[test]
fn a_port_in_use_is_reported_with_its_address() {
    let occupied = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = occupied.local_addr().unwrap().to_string();
    let args = [
        "node",
        "--name",
        "n",
        "--domain",
        "d",
        "--listen",
        &addr,
        "--peer",
        "127.0.0.1:0",
        "--admin",
        "127.0.0.1:0",
        "--log",
        "127.0.0.1:1",
    ];
    let (code, _, errors) = run(&args);
    assert_eq!(code, 1);
    assert!(errors.contains(&format!("failed to listen on {addr} [601]")), "{errors}");
    assert!(errors.contains("Caused by:\n  Address already in use"), "{errors}");
}

#[rstest]
#[case::missing_file(&["config", "check", "no-such-file.toml"], "[410]")]
#[case::no_node(&["status"], "[602]")]
#[case::bad_address(&["status", "--node", "somewhere"], "[600]")]
fn a_failed_command_reports_its_cause(#[case] args: &[&str], #[case] code: &str) {
    let (exit, _, errors) = run(args);
    assert_eq!(exit, 1);
    assert!(errors.contains(code) && errors.contains("Caused by:"), "{errors}");
}

#[test]
fn checking_a_valid_file_prints_a_summary() {
    let path = data_path("keteltoezicht.toml");
    let (code, out, _) = run(&["config", "check", path.to_str().unwrap()]);
    assert_eq!(code, 0);
    assert!(out.ends_with("is valid: 3 failure domains, 2 policies, 1 services, 1 key ranges\n"));
}

#[test]
fn the_documented_codes_match_the_code() {
    let page = std::fs::read_to_string(concat!(env!("CARGO_MANIFEST_DIR"), "/docs/CODES.md"));
    let page = page.unwrap();
    let rows: Vec<&str> = page.lines().filter(|l| l.starts_with("| ")).skip(1).collect();
    let row =
        |c: &Code| format!("| {} | {} | {} | {} |", c.number(), c.outcome(), c.status(), c.text());
    let expected: Vec<String> = Code::ALL.iter().map(row).collect();
    assert_eq!(rows, expected);
}

#[tokio::test]
async fn status_dump_explain_and_drain_report_to_operators() {
    let cluster = start_cluster(&THREE_TARGETS).await;
    let (code, status, _) = cluster.command(0, &["status"]);
    assert_eq!(code, 0);
    assert!(status.contains("historie  3        12      0"), "{status}");
    let (_, dump, _) = cluster.command(1, &["dump"]);
    assert!(dump.contains("is serving") && dump.contains("backend server of historie"), "{dump}");
    let (_, all, _) = cluster.command(1, &["dump", "--all"]);
    assert_eq!(all.matches("is serving").count(), 3, "{all}");
    let (_, route, _) = cluster.command(2, &["explain", "historie", "ketel-1"]);
    assert!(route.contains("its owner is n") && route.contains("witnessed by"), "{route}");
    let (code, _, errors) = cluster.command(2, &["explain", "histori", "ketel-1"]);
    assert_eq!(code, 1);
    assert!(errors.contains("did you mean 'historie'?"), "{errors}");
    let (code, _, errors) = cluster.command(0, &["drain", "delft-d"]);
    assert_eq!(code, 1);
    assert!(errors.contains("[404]") && errors.contains("'delft-c'"), "{errors}");
}
