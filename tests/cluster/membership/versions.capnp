@0xa2f1c6f0f1f6a9d3;
# The packet as an older version knew it (a beginning of the fields), and as a newer one may (more fields).

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("shaletray::membership::versions");
using Now = import "/cluster/membership/membership.capnp";

struct OldPacket {
  kind @0 :UInt8;
  who @1 :Bool;
  joined @2 :Bool;
  lighthouse @3 :Bool;
  last @4 :Bool;
  more @5 :Bool;
  members @6 :UInt16;
  number @7 :UInt32;
  life @8 :UInt64;
  version @9 :UInt32;
  beat @10 :UInt8;
  digest @11 :UInt64;
  about @12 :Text;
  entries @13 :List(Now.Entry);
  places @14 :List(Now.Place);
}

struct NewEntry {
  ip @0 :UInt32;
  port @1 :UInt16;
  role @2 :UInt8;
  state @3 :UInt8;
  life @4 :UInt64;
  version @5 :UInt32;
  counts @6 :UInt32;
  disk @7 :UInt64;
  place @8 :UInt16;
  brief @9 :Bool;
  quorum @10 :Bool;
  address @11 :Text;
  name @12 :Text;
  control @13 :Text;
  unheard @14 :Bool;
  load @15 :Float64;
  labels @16 :List(Text);
}

struct NewPacket {
  kind @0 :UInt8;
  who @1 :Bool;
  joined @2 :Bool;
  lighthouse @3 :Bool;
  last @4 :Bool;
  more @5 :Bool;
  members @6 :UInt16;
  number @7 :UInt32;
  life @8 :UInt64;
  version @9 :UInt32;
  beat @10 :UInt8;
  digest @11 :UInt64;
  about @12 :Text;
  entries @13 :List(NewEntry);
  places @14 :List(Now.Place);
  row @15 :Data;
  hashes @16 :List(UInt32);
  buckets @17 :List(UInt64);
  after @18 :Text;
  next @19 :Text;
  beats @20 :Data;
  check @21 :Bool;
  sizes @22 :List(UInt32);
  offer @23 :NewEntry;
  format @24 :UInt64;
}

struct Holder {
  old @0 :List(OldPacket);
  new @1 :List(NewPacket);
}
