# The owners of shard keys: the whole table, as stored in the entries of the replicated register, or only the
# changed rows, as sent to gateways; see ownership_table.h. Fields are only ever added.
@0xe2b5a9c07d4f6318;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("shaletray::ownership::wire");

struct Table {
  version @0 :UInt64;
  holdMs @1 :UInt32;           # the hold time that all controllers grant
  names @2 :List(Text);        # of services and servers; other fields refer to them by index
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
  previousOwner @6 :UInt32;    # index into names plus one; 0: no previous owner
  previousFence @7 :UInt64;
  handover @8 :Text;
}
