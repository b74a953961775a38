# The messages of a program to come: as ours, and more.
@0xaa31be1ffa2ab5a8;
using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("shaletray::consensus::later");

struct Ballot {
  round @0 :UInt64;
  proposer @1 :Text;
  life @2 :UInt64;
}
struct Message {
  kind @0 :UInt16;
  disk @1 :UInt64;
  at @2 :UInt64;
  instance @3 :UInt64;
  nonce @4 :UInt64;
  ballot @5 :Ballot;
  other @6 :Ballot;
  pending @7 :Bool;
  value @8 :AnyPointer;
  urgent @9 :Bool = true;
  why @10 :Text;
}
