# What lighthouses say to each other about decrees, and what each keeps on its disk. Fields are only ever added:
# an older program reads a newer one's messages without those it does not know.
@0xd364bd51448e95ef;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("shaletray::consensus::wire");

struct Member {
  address @0 :Text;
  disk @1 :UInt64;
}

struct Ballot {
  round @0 :UInt64;
  proposer @1 :Text;
}

struct Decree {
  number @0 :UInt64;
  voters @1 :List(Member);
  version @2 :UInt64;
  text @3 :Data;
  textAsBefore @4 :Bool;  # left out: that of the decree of the same version that the reader holds
  earlier @5 :List(Digest);  # of the versions before; left out where it follows from the decree that the reader holds
}

struct Digest {
  version @0 :UInt64;
  low @1 :UInt64;  # of its text: XXH3, 128 bits
  high @2 :UInt64;
}

enum Kind {
  none @0;
  prepare @1;
  promise @2;
  accept @3;
  accepted @4;
  refused @5;
  ask @6;
  state @7;
  notice @8;
  wanted @9;
  learn @10;
  kept @11;
}

struct Message {
  kind @0 :Kind;
  disk @1 :UInt64;      # the sender's
  at @2 :UInt64;        # the number of the decree that the sender holds, plus one; 0: it holds none
  instance @3 :UInt64;  # the number of the decree that this is about
  nonce @4 :UInt64;
  ballot @5 :Ballot;
  other @6 :Ballot;
  pending @7 :Bool;
  value @8 :Decree;
}

# Texts are kept apart, each under its own key, so that they are written once.
struct Head {
  disk @0 :UInt64;
  sequence @1 :UInt64;
  decree @2 :Decree;
  decreeText @3 :TextAt;
  promised @4 :Ballot;
  accepted @5 :Ballot;
  pending @6 :Decree;
  pendingText @7 :TextAt;
}

struct TextAt {
  slot @0 :UInt64;  # 0: empty
  size @1 :UInt64;
  low @2 :UInt64;   # XXH3, 128 bits
  high @3 :UInt64;
}
