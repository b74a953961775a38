@0xd5a44e63e479fb7a;
# What one process of the system sends to another, as a datagram or as a frame of a session.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("shaletray::transport::schema");

struct Envelope {
  version @0 :UInt16;    # of what the kinds' bytes mean; another one is not read
  kind @1 :UInt8;
  from @2 :Text;         # the sender's internal address
  life @3 :UInt64;
  bytes @4 :Data;
}
