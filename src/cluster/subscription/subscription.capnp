# What pilots and lighthouses tell each other; see watch.h.
@0x8ac931085f77d5e6;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("shaletray::subscription::wire");

struct Message {
  union {
    have @0 :Have;
    news @1 :News;
  }
}

struct Have {
  life @0 :UInt64;
  version @1 :UInt64;
  digest @2 :UInt64;
  knownLife @3 :UInt64;
  knownSequence @4 :UInt64;
  counts @5 :UInt32;
}

struct News {
  life @0 :UInt64;
  confirmed @1 :Bool;
  version @2 :UInt64;
  digest @3 :UInt64;
  update @4 :Data;
  since @5 :UInt64;
  sequence @6 :UInt64;
  servers @7 :Data;
}
