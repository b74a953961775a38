# What lighthouses tell each other of servers; see relay.h.
@0x8497ef9599b07117;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("shaletray::controller::wire");

struct Relay {
  knownLife @0 :UInt64;       # of the reader, as far as the teller knows it
  knownSequence @1 :UInt64;
  words @2 :Data;             # for registry::Muster::merge
}
