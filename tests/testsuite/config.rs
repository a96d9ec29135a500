//! Configuration: parsing reports all errors at once, each with code, object, field, reason and the
//! nearest known name; changes are computed, described and validated.

use kelpwind::core::codes::Code;
use kelpwind::core::config::Config;
use kelpwind::core::config::change::Change;
use rstest::rstest;

use crate::support::data;

fn valid_text() -> String {
    std::fs::read_to_string(data("keteltoezicht.toml")).unwrap()
}

fn errors(text: &str) -> Vec<String> {
    let errors = Config::try_from(text).unwrap_err();
    errors.0.iter().map(ToString::to_string).collect()
}

#[test]
fn all_errors_are_reported_in_one_pass() {
    let text = r#"
        [failure-domain.Rdam]
        region = "nl-west"
        [failure-domain.dordt-b]
        regio = "nl-west"
        [policy.lezen]
        repeat = "twice"
        deadline = "2 hours"
        [policy.vastleggen]
        repeat = "once"
        weight = 0
        [service.historie]
        domains = ["dordt-c"]
        read = "lezn"
        write = "vastleggen"
        [key-rang.ketels]
        service = "historie"
    "#;
    let found = errors(text);
    let expected = [
        "[400] failure-domain 'Rdam': 'Rdam' is not a name: 1 to 63 of a-z, 0-9, '-', '_' and \
         '.', beginning with a letter or digit",
        "[401] failure-domain 'dordt-b'.region: missing; expected a string",
        "[402] failure-domain 'dordt-b'.regio: no such field; did you mean 'region'?",
        "[402] file.key-rang: not a kind of object; did you mean 'key-range'?",
        "[401] policy 'lezen'.repeat: \"twice\" is not \"idempotent\" or \"once\"",
        "[401] policy 'lezen'.deadline: \"2 hours\" is not a time such as \"250ms\" or \"2s\", at \
         most 120s",
        "[401] policy 'vastleggen'.weight: 0 is not a number from 1 to 1000",
        "[404] service 'historie'.domains: nothing is named 'dordt-c'",
        "[404] service 'historie'.read: nothing is named 'lezn'",
        "[404] service 'historie'.write: nothing is named 'vastleggen'",
    ];
    assert_eq!(found, expected);
}

#[rstest]
#[case::not_toml("[service.historie", "[410]")]
#[case::duplicate_name("[policy.a]\nrepeat='once'\n[policy.a]\nrepeat='once'", "[403]")]
#[case::not_a_table("policy = 3", "[402]")]
#[case::object_not_a_table("[policy]\na = 3", "[401]")]
fn unparsable_files_are_reported(#[case] text: &str, #[case] code: &str) {
    assert!(errors(text)[0].starts_with(code), "{:?}", errors(text));
}

#[test]
fn misspelt_names_get_a_suggestion() {
    let found = errors(&valid_text().replace("read = \"lezen\"", "read = \"lezem\""));
    assert_eq!(
        found,
        ["[404] service 'historie'.read: nothing is named 'lezem'; did you mean 'lezen'?"]
    );
}

#[test]
fn overlapping_ranges_of_one_service_are_rejected() {
    let text = valid_text() + "[key-range.late]\nservice = \"historie\"\nfrom = \"k\"\n";
    assert_eq!(errors(&text), ["[406] key-range 'ketels'.from: shares keys with key-range 'late'"]);
}

#[test]
fn formatting_and_parsing_round_trips() {
    let config = Config::try_from(valid_text().as_str()).unwrap();
    assert_eq!(Config::try_from(config.to_toml().as_str()), Ok(config));
}

#[test]
fn the_example_is_valid_and_has_no_unreferenced_objects() {
    let config = Config::try_from(kelpwind::ops::dev::EXAMPLE).unwrap();
    assert_eq!(config.unreferenced(), []);
}

fn change(edit: impl FnOnce(&mut Config)) -> (Config, Config, Change) {
    let old = Config::try_from(valid_text().as_str()).unwrap();
    let mut new = old.clone();
    edit(&mut new);
    let change = Change::between(&old, &new);
    (old, new, change)
}

#[test]
fn a_change_contains_and_describes_only_the_differences() {
    let (old, new, change) = change(|c| c.policy.get_mut("lezen").unwrap().weight = 9);
    assert_eq!(change.put.policy.len(), 1);
    assert!(change.put.service.is_empty() && change.drop.is_empty());
    assert_eq!(change.describe(&old), ["change policy 'lezen'.weight from 4 to 9"]);
    assert_eq!(change.apply(&old), Ok(new));
}

#[test]
fn the_slices_of_a_range_cannot_change() {
    let (old, _, change) = change(|c| c.key_range.get_mut("ketels").unwrap().slices = 13);
    let errors = change.apply(&old).unwrap_err();
    assert_eq!(errors.0[0].code, Code::Immutable);
    assert_eq!(errors.0[0].field, "slices");
}

#[test]
fn dangerous_changes_are_found() {
    let (old, new, dropped) = change(|c| c.key_range.clear());
    assert_eq!(dropped.dangers(&old, &new)[0].code, Code::Dangerous);
    let (old, new, out) = change(|c| c.failure_domain.values_mut().for_each(|d| d.drained = true));
    assert!(out.dangers(&old, &new)[0].reason.contains("last failure domain"));
    let (old, new, one) = change(|c| c.failure_domain.get_mut("rdam-a").unwrap().drained = true);
    assert_eq!(one.dangers(&old, &new), []);
}
