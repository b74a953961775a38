# The words of muster.capnp as a later version may have them: what it adds stands behind what there is.
@0xbbe0755f82d8ba8c;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("shaletray::registry::next");

struct Words {
  keepers @0 :List(Keeper);
  since @1 :UInt64;
  sequence @2 :UInt64;
  names @3 :List(Text);
  entries @4 :List(Entry);
  remarks @5 :List(Text);
}

struct Keeper {
  address @0 :Text;
  life @1 :UInt64;
  quiet @2 :UInt32;
  settled @3 :Bool;
  load @4 :Float64;
  place @5 :Text;
}

struct Entry {
  id @0 :Text;
  address @1 :Text;
  calls @2 :UInt64;
  service @3 :UInt32;
  zone @4 :UInt32;
  revision @5 :UInt32;
  keeper @6 :UInt16;
  capacity @7 :UInt32;
  rampLeft @8 :UInt32;
  quiet @9 :UInt32;
  age @10 :UInt32;
  state @11 :UInt8;
  left @12 :Bool;
  keeperLife @13 :UInt64;
  weight @14 :Float64;
  note @15 :Text;
}
