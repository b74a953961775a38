# Subscription messages between gateways and controllers; subscription.h describes the fields.
@0x8ac931085f77d5e6;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("shaletray::subscription::wire");

struct Message {
  union {
    clientState @0 :ClientState;
    controlUpdate @1 :ControlUpdate;
  }
}

struct ClientState {
  incarnation @0 :UInt64;
  version @1 :UInt64;
  digest @2 :UInt64;
  knownIncarnation @3 :UInt64;
  knownSequence @4 :UInt64;
  quotaDivisor @5 :UInt32;
  ownershipVersion @6 :UInt64;
  keySamples @7 :List(KeySamples);
  lastUpdate @8 :UInt32;
}

struct KeySamples {
  service @0 :Text;
  keys @1 :List(UInt16);
  arrivals @2 :UInt32;
}

struct ControlUpdate {
  incarnation @0 :UInt64;
  quorumConfirmed @1 :Bool;
  version @2 :UInt64;
  digest @3 :UInt64;
  configurationDelta @4 :Data;
  sinceSequence @5 :UInt64;
  sequence @6 :UInt64;
  endpointChanges @7 :Data;
  ownershipVersion @8 :UInt64;
  ownershipSince @9 :UInt64;
  ownershipChanges @10 :Data;
  number @11 :UInt32;
}
