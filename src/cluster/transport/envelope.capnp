@0xd5a44e63e479fb7a;
# What one process of the system sends to another, as a datagram or as a frame of a session.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("shaletray::transport::wire");

struct Envelope {
  version @0 :UInt16;       # of the protocol; messages of other versions are rejected
  kind @1 :UInt8;           # transport::Kind
  sender @2 :Text;          # the sender's internal address
  incarnation @3 :UInt64;   # the sender's
  payload @4 :Data;         # the message itself, in the encoding of its kind
}
