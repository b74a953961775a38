# What controllers send to each other and to the gateways about the servers; endpoint_view.h describes how
# updates are merged. New fields get new ordinals, and their default has to mean what a version without the
# field did.
@0xcaf6f1ab05dd867a;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("shaletray::registry::wire");

struct RegistryUpdate {
  owners @0 :List(Owner);      # the first is the sender itself
  since @1 :UInt64;            # holds the sender's changes after this sequence number
  sequence @2 :UInt64;         # up to this one
  names @3 :List(Text);        # of services, zones and revisions; entries refer to them by index
  entries @4 :List(Entry);
}

# A controller that the sender has heard of.
struct Owner {
  address @0 :Text;
  incarnation @1 :UInt64;
  silentMs @2 :UInt32;              # ms since the sender last heard of it
  registrationsComplete @3 :Bool;   # every running server has called a controller since this incarnation began
}

# The state of one server.
struct Entry {
  id @0 :Text;
  address @1 :Text;
  callCount @2 :UInt64;             # of the server's latest call; orders the entries of a server
  service @3 :UInt32;               # index into names, as zone and revision
  zone @4 :UInt32;
  revision @5 :UInt32;
  owner @6 :UInt16;                 # index into owners: the controller that had the latest call
  capacity @7 :UInt32;
  slowStartLeftMs @8 :UInt32;       # ms, at the latest call
  silentMs @9 :UInt32;              # ms since the latest call
  ageMs @10 :UInt32;                # ms since a controller had the first call
  state @11 :UInt8;
  deregistered @12 :Bool;           # the server said itself that it ends; final
  ownerIncarnation @13 :UInt64;     # of the owner at the latest call; 0: the one in owners
}
