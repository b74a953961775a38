# Who owns which shard keys: the whole table, as it stands in the entries of the replicated register, or the rows
# that changed, as gateways receive them; see ownership_table.h. Fields are only ever added.
@0xe2b5a9c07d4f6318;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("shaletray::ownership::wire");

struct Table {
  version @0 :UInt64;
  holdMs @1 :UInt32;           # the hold that all controllers grant
  names @2 :List(Text);        # of services and servers; referred to by index
  services @3 :List(Service);
}

struct Service {
  name @0 :UInt32;
  rows @1 :List(Row);          # ascending by first
}

struct Row {
  first @0 :UInt16;
  last @1 :UInt16;             # inclusive
  owner @2 :UInt32;            # index into names
  fence @3 :UInt64;
  changed @4 :UInt64;          # the table's version at the last change of the row
  settled @5 :Bool;
  previousOwner @6 :UInt32;    # index into names plus one; 0: none
  previousFence @7 :UInt64;
  handover @8 :Text;
}
