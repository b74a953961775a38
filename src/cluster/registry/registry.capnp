# Updates about servers from controllers to other controllers and to gateways; endpoint_view.h describes how
# they are merged. New fields get new ordinals, and their default must stand for the behaviour of versions
# without the field.
@0xcaf6f1ab05dd867a;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("shaletray::registry::wire");

struct RegistryUpdate {
  owners @0 :List(Owner);      # the first is the sender
  since @1 :UInt64;            # the update has the sender's changes after this sequence number
  sequence @2 :UInt64;         # up to and including this one
  names @3 :List(Text);        # services, zones and revisions; entries refer to them by index
  entries @4 :List(Entry);
}

# A controller that the sender knows.
struct Owner {
  address @0 :Text;
  incarnation @1 :UInt64;
  silentMs @2 :UInt32;              # ms since the last contact with it, as known to the sender
  registrationsComplete @3 :Bool;   # every running server has sent a heartbeat since this incarnation started
}

# The state of one server.
struct Entry {
  id @0 :Text;
  address @1 :Text;
  callCount @2 :UInt64;             # of the server's latest heartbeat; orders the entries of a server
  service @3 :UInt32;               # index into names, like zone and revision
  zone @4 :UInt32;
  revision @5 :UInt32;
  owner @6 :UInt16;                 # index into owners: the controller that received the latest heartbeat
  capacity @7 :UInt32;
  slowStartLeftMs @8 :UInt32;       # ms of slow start that remained at the latest heartbeat
  silentMs @9 :UInt32;              # ms since the latest heartbeat
  ageMs @10 :UInt32;                # ms since a controller received the first heartbeat
  state @11 :UInt8;
  deregistered @12 :Bool;           # by the server itself; final
  ownerIncarnation @13 :UInt64;     # of the owner at the latest heartbeat; 0: the one in owners
}
