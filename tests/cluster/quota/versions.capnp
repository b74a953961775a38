# The messages as an earlier and a later version may have them, to be played against today's.
@0xb7c5e1f09a3d2264;
using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("shaletray::quota::versions");

struct Earlier {
  life @0 :UInt64;
  sequence @1 :UInt64;
  stamp @2 :UInt64;
  echoLife @3 :UInt64;
  echo @4 :UInt64;
  held @5 :UInt64;
  entries @6 :List(Entry);
  struct Entry {
    tenant @0 :UInt64;
    free @1 :Float32;
    gift @2 :Float32;
  }
}

struct Later {
  life @0 :UInt64;
  sequence @1 :UInt64;
  stamp @2 :UInt64;
  echoLife @3 :UInt64;
  echo @4 :UInt64;
  held @5 :UInt64;
  entries @6 :List(Entry);
  remark @7 :Text;
  struct Entry {
    tenant @0 :UInt64;
    free @1 :Float32;
    gift @2 :Float32;
    want @3 :Float32;
    flags @4 :UInt8;
    price @5 :Float64;
    tags @6 :List(Text);
  }
}
