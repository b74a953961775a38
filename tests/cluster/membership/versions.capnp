@0xa2f1c6f0f1f6a9d3;
# The packet of an older version (only the first fields), and of a possible newer one (additional fields).

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("shaletray::membership::versions");
using Now = import "/cluster/membership/membership.capnp";

struct OldPacket {
  kind @0 :UInt8;
  wantsInfo @1 :Bool;
  joined @2 :Bool;
  fromController @3 :Bool;
  lastPage @4 :Bool;
  requestMore @5 :Bool;
  memberCount @6 :UInt16;
  sequenceNumber @7 :UInt32;
  incarnation @8 :UInt64;
  version @9 :UInt32;
  heartbeat @10 :UInt8;
  digest @11 :UInt64;
  target @12 :Text;
  entries @13 :List(Now.Entry);
  locations @14 :List(Now.Location);
}

struct NewEntry {
  ip @0 :UInt32;
  port @1 :UInt16;
  role @2 :UInt8;
  state @3 :UInt8;
  incarnation @4 :UInt64;
  version @5 :UInt32;
  quotaDivisor @6 :UInt32;
  diskId @7 :UInt64;
  location @8 :UInt16;
  brief @9 :Bool;
  voterEligible @10 :Bool;
  address @11 :Text;
  name @12 :Text;
  controlAddress @13 :Text;
  unheard @14 :Bool;
  load @15 :Float64;
  labels @16 :List(Text);
}

struct NewPacket {
  kind @0 :UInt8;
  wantsInfo @1 :Bool;
  joined @2 :Bool;
  fromController @3 :Bool;
  lastPage @4 :Bool;
  requestMore @5 :Bool;
  memberCount @6 :UInt16;
  sequenceNumber @7 :UInt32;
  incarnation @8 :UInt64;
  version @9 :UInt32;
  heartbeat @10 :UInt8;
  digest @11 :UInt64;
  target @12 :Text;
  entries @13 :List(NewEntry);
  locations @14 :List(Now.Location);
  orderedHeartbeats @15 :Data;
  heartbeatHashes @16 :List(UInt32);
  digestBuckets @17 :List(UInt64);
  afterAddress @18 :Text;
  upToAddress @19 :Text;
  hashedHeartbeats @20 :Data;
  verifySuspicions @21 :Bool;
  sizes @22 :List(UInt32);
  offer @23 :NewEntry;
  format @24 :UInt64;
}

struct Holder {
  old @0 :List(OldPacket);
  new @1 :List(NewPacket);
}
