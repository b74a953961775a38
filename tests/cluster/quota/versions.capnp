# Balancing messages as an earlier and a later version may define them, for tests of compatibility with the
# current version.
@0xb7c5e1f09a3d2264;
using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("shaletray::quota::versions");

struct Earlier {
  incarnation @0 :UInt64;
  sequence @1 :UInt64;
  timestamp @2 :UInt64;
  echoedIncarnation @3 :UInt64;
  echoedTimestamp @4 :UInt64;
  echoDelay @5 :UInt64;
  entries @6 :List(Entry);
  struct Entry {
    tenant @0 :UInt64;
    available @1 :Float32;
    transfer @2 :Float32;
  }
}

struct Later {
  incarnation @0 :UInt64;
  sequence @1 :UInt64;
  timestamp @2 :UInt64;
  echoedIncarnation @3 :UInt64;
  echoedTimestamp @4 :UInt64;
  echoDelay @5 :UInt64;
  entries @6 :List(Entry);
  remark @7 :Text;
  struct Entry {
    tenant @0 :UInt64;
    available @1 :Float32;
    transfer @2 :Float32;
    maxTransfer @3 :Float32;
    flags @4 :UInt8;
    price @5 :Float64;
    tags @6 :List(Text);
  }
}
