# The messages of a possible newer version: the current fields and some additional ones.
@0xaa31be1ffa2ab5a8;
using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("shaletray::consensus::newer");

struct Ballot {
  round @0 :UInt64;
  proposer @1 :Text;
  incarnation @2 :UInt64;
}
struct Message {
  kind @0 :UInt16;
  diskId @1 :UInt64;
  nextInstance @2 :UInt64;
  instance @3 :UInt64;
  nonce @4 :UInt64;
  ballot @5 :Ballot;
  otherBallot @6 :Ballot;
  hasAcceptedEntry @7 :Bool;
  entry @8 :AnyPointer;
  urgent @9 :Bool = true;
  reason @10 :Text;
}
