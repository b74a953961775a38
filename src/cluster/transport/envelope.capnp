@0xd5a44e63e479fb7a;
# The envelope of messages between processes, sent as a datagram or as a frame of a session.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("shaletray::transport::wire");

struct Envelope {
  version @0 :UInt16;       # of the protocol; envelopes of other versions are rejected
  kind @1 :UInt8;           # transport::Kind
  sender @2 :Text;          # the sender's internal address
  incarnation @3 :UInt64;   # the sender's
  payload @4 :Data;         # the encoded message, whose schema depends on the kind
}
