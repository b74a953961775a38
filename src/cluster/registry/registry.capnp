# What lighthouses tell each other and the pilots of the servers; see view.h.
@0xcaf6f1ab05dd867a;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("shaletray::registry::wire");

struct RegistryUpdate {
  owners @0 :List(Owner);    # the first is the teller itself
  since @1 :UInt64;
  sequence @2 :UInt64;
  names @3 :List(Text);        # of services, zones and revisions, by their place
  entries @4 :List(Entry);
}

struct Owner {
  address @0 :Text;
  incarnation @1 :UInt64;
  silentMs @2 :UInt32;            # ms since it was heard
  registrationsComplete @3 :Bool;
}

struct Entry {
  id @0 :Text;
  address @1 :Text;
  callCount @2 :UInt64;
  service @3 :UInt32;
  zone @4 :UInt32;
  revision @5 :UInt32;
  owner @6 :UInt16;
  capacity @7 :UInt32;
  slowStartLeftMs @8 :UInt32;         # ms, when it was last heard
  silentMs @9 :UInt32;            # ms since its keeper heard it
  ageMs @10 :UInt32;             # ms since a keeper first did
  state @11 :UInt8;
  deregistered @12 :Bool;              # it said itself that it ends
  ownerIncarnation @13 :UInt64;      # 0: the life that is told of its keeper
}
