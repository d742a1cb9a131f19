//! Fingerprints of requests, by which a request is recognised when it arrives at another host.

use http::header;
use shallothub_core::suspect;
use shallothub_wire::protocol;

/// The fingerprint of method, host, path, query and body. The hash is cryptographic, so that nobody can craft a
/// request with the fingerprint of another one.
pub(super) fn of(request: &protocol::Request) -> suspect::Fingerprint {
    let mut hash = blake3::Hasher::new();
    let host = request.headers.get(header::HOST).map_or(&[][..], |host| host.as_bytes());
    let target = request.target.path_and_query().map_or("", |target| target.as_str());
    for field in [request.method.as_str().as_bytes(), host, target.as_bytes(), &request.body] {
        // The length prefix marks where each field ends.
        hash.update(&(field.len() as u64).to_le_bytes());
        hash.update(field);
    }
    let mut bytes = [0; 16];
    bytes.copy_from_slice(&hash.finalize().as_bytes()[..16]);
    suspect::Fingerprint(u128::from_le_bytes(bytes))
}
