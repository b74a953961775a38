# Balancing messages, in which a gateway reports the state of its tenants' buckets to a neighbour. Fields are
# only ever added: a reader of another version reads the fields it knows, and the default of fields that did
# not exist yet.
@0xd1a3f0c27be95d11;
using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("shaletray::quota::wire");

struct Balance {
  incarnation @0 :UInt64;          # the sender's
  sequence @1 :UInt64;             # counts the sender's messages of this incarnation to all neighbours
  timestamp @2 :UInt64;            # the sender's time in microseconds; comes back as `echoedTimestamp`
  echoedIncarnation @3 :UInt64;    # the receiver's as last received; 0: none received, no transfers
  echoedTimestamp @4 :UInt64;      # the newest timestamp received from the receiver
  echoDelay @5 :UInt64;            # microseconds from receiving it to sending this message
  entries @6 :List(Entry);
}

struct Entry {
  tenant @0 :UInt64;        # the hash of its name
  available @1 :Float32;    # the sender's units minus the requests queued for them; may be negative
  transfer @2 :Float32;     # units moved to the receiver with this message
  maxTransfer @3 :Float32;  # maximum units that the receiver may transfer to the sender
  flags @4 :UInt8;          # 1: requests are queued for units, 2: requests recently exceeded the units
}
