# The schema of registry.capnp as a later version may define it, with fields added to each struct.
@0xbbe0755f82d8ba8c;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("shaletray::registry::next");

struct RegistryUpdate {
  owners @0 :List(Owner);
  since @1 :UInt64;
  sequence @2 :UInt64;
  names @3 :List(Text);
  entries @4 :List(Entry);
  remarks @5 :List(Text);
}

struct Owner {
  address @0 :Text;
  incarnation @1 :UInt64;
  silentMs @2 :UInt32;
  registrationsComplete @3 :Bool;
  load @4 :Float64;
  location @5 :Text;
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
  slowStartLeftMs @8 :UInt32;
  silentMs @9 :UInt32;
  ageMs @10 :UInt32;
  state @11 :UInt8;
  deregistered @12 :Bool;
  ownerIncarnation @13 :UInt64;
  weight @14 :Float64;
  note @15 :Text;
}
