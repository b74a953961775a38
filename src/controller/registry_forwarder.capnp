# Message by which controllers replicate the servers that each one owns; see registry_forwarder.h.
@0x8497ef9599b07117;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("shaletray::controller::wire");

struct RegistryUpdate {
  knownIncarnation @0 :UInt64;  # the recipient's incarnation last seen by the sender
  knownSequence @1 :UInt64;     # acknowledges the recipient's changes up to here
  changes @2 :Data;             # for registry::ServiceRegistry::merge_changes
  acknowledgeNow @3 :Bool;      # the recipient must acknowledge these changes at once
}
