# What one pilot tells a neighbour of the tenants' stores. Fields are only ever added: a reader of another
# version takes what it knows and finds the default where a field did not exist yet.
@0xd1a3f0c27be95d11;
using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("shaletray::quota::wire");

struct Balance {
  life @0 :UInt64;       # the sender's
  sequence @1 :UInt64;   # of the sender's messages in this life, all neighbours together
  stamp @2 :UInt64;      # the sender's time; comes back as `echo`
  echoLife @3 :UInt64;   # the receiver's, as last heard; 0: never heard, and then nothing is given
  echo @4 :UInt64;       # the newest stamp heard of the receiver
  held @5 :UInt64;       # microseconds from hearing it to this message
  entries @6 :List(Entry);
}

struct Entry {
  tenant @0 :UInt64;     # the hash of its name
  free @1 :Float32;      # what the sender holds less what waits there; may be below nothing
  gift @2 :Float32;      # moved to the receiver with this message
  want @3 :Float32;      # the most that the receiver may give
  flags @4 :UInt8;       # 1: requests wait for it, 2: asked for more than it holds of late
}
