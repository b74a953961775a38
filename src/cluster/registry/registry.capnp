# What lighthouses tell each other and the pilots of the servers; see view.h.
@0xcaf6f1ab05dd867a;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("shaletray::registry::wire");

struct Words {
  keepers @0 :List(Keeper);    # the first is the teller itself
  since @1 :UInt64;
  sequence @2 :UInt64;
  names @3 :List(Text);        # of services, zones and revisions, by their place
  entries @4 :List(Entry);
}

struct Keeper {
  address @0 :Text;
  life @1 :UInt64;
  quiet @2 :UInt32;            # ms since it was heard
  settled @3 :Bool;
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
  rampLeft @8 :UInt32;         # ms, when it was last heard
  quiet @9 :UInt32;            # ms since its keeper heard it
  age @10 :UInt32;             # ms since a keeper first did
  state @11 :UInt8;
  left @12 :Bool;              # it said itself that it ends
  keeperLife @13 :UInt64;      # 0: the life that is told of its keeper
}
