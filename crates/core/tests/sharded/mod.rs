//! The view of `one_leaf`, extended to several shards with replicas.

#[path = "../one_leaf/mod.rs"]
pub mod one_leaf;

use compact_str::format_compact;
use shallothub_core::{id, view};

/// The selector `ask` over `shards` shards with `replicas` leafs each, named `leaf-SHARD-REPLICA`, each of
/// which accepts `connections`.
pub fn view(shards: usize, replicas: usize, connections: u32) -> view::View {
    let mut view = view::View::clone(&one_leaf::view(connections));
    let leaf = view.servers[0].clone().expect("the leaf");
    view.servers.clear();
    let class = &mut view.classes[0];
    class.hedge = true;
    class.branches[0].targets.clear();
    for shard in 0..shards {
        let mut servers = Vec::new();
        for replica in 0..replicas {
            let name = format_compact!("leaf-{shard}-{replica}");
            servers.push(id::Server(view.servers.len() as u32));
            view.servers.push(Some(view::Server { address: name.clone(), name, ..leaf.clone() }));
        }
        let (shard, service) = (format_compact!("shard-{shard}"), id::Service(0));
        class.branches[0].targets.push(view::Target { shard, service, replicas: servers });
    }
    view
}
