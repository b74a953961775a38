@0xe2b1a6c3f0874d19;
# A message for the tests of the codec.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("shaletray::runtime::sample");

struct Sample {
  number @0 :UInt64;
  data @1 :Data;
  text @2 :Text;
  inner @3 :Sample;
}
