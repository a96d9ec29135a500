//! Tenants: API keys, what they allow, and the decoding of their table.

use bytes::Bytes;
use kelpwind::core::codes::Code;
use kelpwind::core::ids::Offset;
use kelpwind::core::routes::Routes;
use kelpwind::core::tenants::ApiKeyDigest;
use kelpwind::mesh::platform_api::{CallerRequest, OperatorOrder};
use kelpwind::platform;
use kelpwind::table::Record;

/// A configuration with these rows of tenants.
fn config(tenants: &str) -> String {
    format!(
        r#"{{"version":7,"routes":{{"columns":["name","host","path-prefix","kind","priority",
        "service","allowed-regions","public"],"rows":[
        ["r-1","a.example","/","safe",2,"maps",null,null],
        ["r-2","a.example","/open/","safe",2,"maps",["west","east"],true]]}},
        "services":{{"columns":["name"],"rows":[["maps"]]}},
        "tenants":{{"columns":["name","api-keys","priority","rate-per-s","burst","allowed-regions",
        "added-later"],"rows":[{tenants}]}}}}"#
    )
}

fn decode(tenants: &str) -> Result<Routes, String> {
    let value = Some(Bytes::from(config(tenants)));
    match platform::decode_order(&Record { offset: Offset(3), key: "config".to_owned(), value }) {
        Ok(OperatorOrder::Routes(routes)) => Ok(*routes),
        Ok(order) => panic!("{order:?}"),
        Err(e) => {
            assert!(e.routes, "the node does not know that a configuration is missing");
            Err(e.why)
        }
    }
}

fn digest(key: &str) -> Option<ApiKeyDigest> {
    ApiKeyDigest::of(key.as_bytes())
}

const ROWS: &str = r#"["blue",["k-1","k-2"],0,12.5,40,["west","north"],"x"],
    ["Red & Co",["k-3"],null,null,null,null],["grey",null,null,0,7,["north"]],["green",["k-5"],2,0,7,["north"]]"#;

// Guards against keys of one tenant that are taken for those of another, and against null and 0 that
// are taken for a limit.
#[test]
fn tenants_are_found_by_key() {
    let routes = decode(ROWS).unwrap();
    let tenants = routes.tenants.as_ref().unwrap();
    let name = |key: &str| tenants.find(&digest(key)?).map(|t| t.name.to_string());
    let found = ["k-1", "k-2", "k-3", "K-1", "k-", ""].map(name);
    let expected = [Some("blue"), Some("blue"), Some("Red & Co"), None, None, None];
    assert_eq!(found, expected.map(|n| n.map(str::to_owned)));
    let quota = |i: usize| tenants.all()[i].quota.map(|q| (q.rate.per_second(), q.burst));
    assert_eq!([quota(0), quota(1), quota(2)], [Some((12.5, 40.0)), None, None]);
    assert_eq!(tenants.admit(None, true), Ok(None));
    assert_eq!(tenants.admit(digest("k-9"), true), Ok(None));
    assert_eq!(tenants.admit(None, false), Err(Code::UnknownCredential));
    assert_eq!(tenants.admit(digest("k-9"), false), Err(Code::UnknownCredential));
    assert_eq!(format!("{:?}", digest("k-1")), "Some(ApiKeyDigest)");
}

// Guards against a tenant whose requests run where it or the route does not allow it.
#[test]
fn priority_and_regions_of_the_tenant_apply_to_its_routes() {
    let routes = decode(ROWS).unwrap();
    let tenants = routes.tenants.as_ref().unwrap();
    let restrict = |key: &str, path: &str| {
        let route = routes.find("a.example", path).unwrap();
        let tenant = tenants.find(&digest(key).unwrap()).unwrap();
        tenant.restrict(route).map(|r| (r.priority, r.regions.join(" ")))
    };
    assert_eq!(restrict("k-1", "/x"), Ok((0, "west north".to_owned())));
    assert_eq!(restrict("k-1", "/open/"), Ok((0, "west".to_owned())));
    assert_eq!(restrict("k-3", "/open/"), Ok((2, "west east".to_owned())));
    assert_eq!(restrict("k-5", "/open/"), Err(Code::NoTarget));
    assert!(routes.find("a.example", "/open/").unwrap().public);
    assert!(!routes.find("a.example", "/x").unwrap().public);
}

// Guards against a bad value that puts a part of a configuration into force, a message that does not
// say which field is at fault, and a message that repeats a key.
#[test]
fn a_bad_value_of_a_tenant_is_rejected_by_name_and_without_its_keys() {
    for (rows, part) in [
        (r#"[null,["secret"]]"#, "tenants.name"),
        (r#"[" x",["secret"]]"#, "tenants.name"),
        (r#"["a\r\nb",["secret"]]"#, "tenants.name"),
        (r#"["blue","secret"]"#, "tenants.api-keys"),
        (r#"["blue",["secret",7]]"#, "tenants.api-keys"),
        (r#"["blue",["secret",""]]"#, "tenants.api-keys"),
        (r#"["blue",["secret"],-1]"#, "tenants.priority"),
        (r#"["blue",["secret"],256]"#, "tenants.priority"),
        (r#"["blue",["secret"],"high"]"#, "tenants.priority"),
        (r#"["blue",["secret"],0,-0.5]"#, "tenants.rate-per-s"),
        (r#"["blue",["secret"],0,"many"]"#, "tenants.rate-per-s"),
        (r#"["blue",["secret"],0,5,-1]"#, "tenants.burst"),
        (r#"["blue",["secret"],0,5,1,"west"]"#, "tenants.allowed-regions"),
        (r#"["blue",["secret"]],["blue",["other"]]"#, "'blue'"),
        (r#"["blue",["secret"]],["red",["secret"]]"#, "'blue' and 'red'"),
    ] {
        let why = decode(rows).unwrap_err();
        assert!(why.contains(part) && why.starts_with("[401]"), "{rows}: {why}");
        assert!(!why.contains("secret"), "{rows}: {why}");
    }
}

fn request(lines: &[(&str, &str)]) -> CallerRequest {
    let request = http::Request::builder().uri("/x").header("host", "a.example");
    let request = request.header("x-request-id", "9c41").header("accept", "text/plain");
    let request = lines.iter().fold(request, |r, (name, value)| r.header(*name, *value));
    platform::decode_request(&request.body(()).unwrap().into_parts().0).unwrap()
}

// Guards against keys that reach backend servers, and callers that name a tenant themselves.
#[test]
fn the_key_is_removed_and_the_tenant_is_named() {
    let routes = decode(ROWS).unwrap();
    let tenant = &routes.tenants.as_ref().unwrap().all()[1].name;
    let named = |lines: &[(&str, &str)], tenant| {
        let mut call = request(lines);
        platform::set_tenant(&mut call.request, tenant);
        let mut headers = Vec::new();
        for (name, value) in &call.request.headers {
            if !["host", "x-request-id", "accept"].contains(&name.as_str()) {
                headers.push(format!("{name}: {}", String::from_utf8_lossy(value)));
            }
        }
        headers
    };
    let lines = [("X-Credential", "k-3"), ("X-Tenant", "blue"), ("x-tenant", "grey")];
    assert_eq!(named(&lines, Some(tenant)), ["x-tenant: Red & Co"]);
    assert_eq!(named(&lines, None), [""; 0]);
    assert_eq!(platform::api_key(&request(&lines).request), digest("k-3"));
    // What a gate does with a request of an entry that knows of no tenants, and of one that does.
    let mut left = request(&lines).request;
    platform::remove_key(&mut left);
    assert!(!left.headers.iter().any(|(name, _)| name == "x-credential" || name == "x-tenant"));
    let mut named_already = request(&[("x-tenant", "Red & Co")]).request;
    platform::remove_key(&mut named_already);
    assert!(named_already.headers.iter().any(|(name, _)| name == "x-tenant"));
    let twice = [("x-credential", "k-3"), ("x-credential", "k-3")];
    assert_eq!(platform::api_key(&request(&twice).request), None);
    assert_eq!(named(&twice, Some(tenant)), ["x-tenant: Red & Co"]);
    assert_eq!(platform::api_key(&request(&[]).request), None);
    assert_eq!(platform::api_key(&request(&[("x-credential", "")]).request), None);
}
