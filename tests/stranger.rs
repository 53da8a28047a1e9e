//! Datagrams of strangers.

mod support;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::Value;
use std::net::{SocketAddr, UdpSocket};
use support::Environment;
use vanillatrail::id::{Boot, Incarnation, Millicores, Offset};
use vanillatrail::member::{Header, Kind, Message, Profile, Sealer, State, Update};

/// A message in which `vm` asks to join, sealed with `key`.
fn join(vm: &str, key: &str, address: SocketAddr) -> Vec<u8> {
    let profile = Profile {
        vm: vm.parse().expect("a plain name"),
        zone: "zone-0".parse().expect("a plain name"),
        boot: Boot(1),
        address,
        cores: Millicores(1000),
        ready: false,
        version: Incarnation(1),
    };
    let news = Update::Profile {
        profile: profile.clone(),
        incarnation: Incarnation(1),
        state: State::Alive,
        applied: Offset(0),
    };
    let from = Header {
        vm: profile.vm,
        incarnation: Incarnation(1),
        applied: Offset(0),
        newest: Offset(0),
    };
    let kind = Kind::Ping {
        number: 0,
        to: None,
    };
    Sealer::new(key).seal(&Message {
        from,
        kind,
        updates: vec![news],
    })
}

fn members(environment: &Environment) -> Vec<String> {
    let (_, state) = environment.get(environment.vms[0].operators, "/state");
    let members = state["view"]["members"].as_object().cloned();
    members.map_or_else(Vec::new, |members| {
        members.into_iter().map(|(vm, _)| vm).collect()
    })
}

/// Somebody who can reach the port of the peers sends random bytes, a message under another key,
/// and a message of a member with one bit turned. The VM answers none of them, takes nothing from
/// them and goes on: a stranger can neither join, nor have a member dropped, nor stop the duty.
/// The same message under the key of the settings joins, which shows that the others were read.
#[test]
fn a_datagram_of_random_bytes_or_of_a_stranger_is_refused() {
    let environment = Environment::start(1, 2);
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a free port");
    let own = socket.local_addr().expect("it is bound");
    let to = environment.vms[0].peers;
    let key = "a key for tests only";
    let mut turned = join("vm-turned", key, own);
    *turned.last_mut().expect("it is not empty") ^= 1;
    let mut random = vec![0; 700];
    StdRng::seed_from_u64(7).fill_bytes(&mut random);
    for datagram in [
        Vec::new(),
        vec![0; 15],
        random,
        turned,
        vec![7; 20_000],
        join("vm-stranger", "another key of 16 characters", own),
    ] {
        socket.send_to(&datagram, to).expect("loopback takes it");
    }
    socket
        .send_to(&join("vm-friend", key, own), to)
        .expect("loopback takes it");
    let known = support::poll("the last datagram was read", || {
        let known = members(&environment);
        known.contains(&"vm-friend".to_owned()).then_some(known)
    });
    assert_eq!(known, ["vm-0", "vm-1", "vm-friend"]);
    let refused = std::fs::read_to_string(&environment.vms[0].process.log).expect("our file");
    assert_eq!(
        refused.matches("event=datagram_refused").count(),
        6,
        "{refused}"
    );
    let (status, state) = environment.get(environment.vms[0].operators, "/state");
    assert_ne!((status, state), (200, Value::Null));
}
