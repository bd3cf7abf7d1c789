use super::*;

fn job_id(id: &str) -> JobId {
    JobId::parse(id).expect("an id")
}

#[test]
fn parse_returns_the_route_of_each_request() {
    let id = "j-000001";
    let query = format!("{PATH_JOBS}/{id}");
    let cancel = format!("{PATH_JOBS}/{id}/{PATH_CANCEL}");
    let release = format!("{PATH_RELEASE}{id}");
    for (method, path, route) in [
        ("POST", PATH_HEARTBEAT, Route::Heartbeat),
        ("GET", PATH_READY, Route::Ready),
        ("HEAD", PATH_READY, Route::Ready),
        ("GET", PATH_OVERVIEW, Route::Overview),
        ("POST", PATH_JOBS, Route::Submit),
        ("GET", &query, Route::Query(job_id(id))),
        ("POST", &cancel, Route::Cancel(job_id(id))),
        ("POST", &release, Route::Release(job_id(id))),
    ] {
        assert_eq!(Route::parse(method, path), Ok(route), "{method} {path}");
    }
}

#[test]
fn parse_distinguishes_unknown_paths_unknown_jobs_and_wrong_methods() {
    let query = format!("{PATH_JOBS}/j-000001");
    let bad_query = format!("{PATH_JOBS}/no job");
    let cancel = format!("{query}/{PATH_CANCEL}");
    let bad_cancel = format!("{bad_query}/{PATH_CANCEL}");
    let other = format!("{query}/other");
    let release = format!("{PATH_RELEASE}j-000001");
    let bad_release = format!("{PATH_RELEASE}no job");
    for (method, path, error) in [
        ("GET", PATH_HEARTBEAT, RouteError::MethodNotAllowed),
        ("GET", PATH_JOBS, RouteError::MethodNotAllowed),
        ("GET", &release, RouteError::MethodNotAllowed),
        ("POST", &query, RouteError::MethodNotAllowed),
        ("POST", &bad_query, RouteError::MethodNotAllowed),
        ("GET", &cancel, RouteError::MethodNotAllowed),
        ("GET", &bad_query, RouteError::NoSuchJob),
        ("POST", &bad_cancel, RouteError::NoSuchJob),
        ("POST", &bad_release, RouteError::NoSuchPath),
        ("POST", PATH_OVERVIEW, RouteError::NoSuchPath),
        ("GET", &other, RouteError::NoSuchPath),
        ("GET", "/", RouteError::NoSuchPath),
    ] {
        assert_eq!(Route::parse(method, path), Err(error), "{method} {path}");
    }
}
