# The messages between controllers about the replicated register, and the state that each controller keeps on
# disk. Fields are only ever added, so that an older version can read the messages of a newer one: it ignores
# unknown fields.
@0xd364bd51448e95ef;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("shaletray::consensus::wire");

struct Replica {
  address @0 :Text;
  diskId @1 :UInt64;
}

struct Ballot {
  round @0 :UInt64;
  proposer @1 :Text;
}

struct LogEntry {
  number @0 :UInt64;
  voters @1 :List(Replica);
  version @2 :UInt64;
  text @3 :Data;
  textOmitted @4 :Bool;  # the text is that of the reader's entry of the same version
  earlierDigests @5 :List(Digest);  # of earlier versions; omitted if the reader can derive them
  ownershipTable @6 :Data;          # owners of shard keys, as ownership::encode writes them
  ownershipTableOmitted @7 :Bool;   # the table is that of the reader's committed entry
}

struct Digest {
  version @0 :UInt64;
  low @1 :UInt64;  # of the 128-bit XXH3 hash of the text
  high @2 :UInt64;
}

enum Kind {
  none @0;
  prepare @1;
  promise @2;
  accept @3;
  accepted @4;
  rejected @5;
  readRequest @6;
  readReply @7;
  commit @8;
  fetchRequest @9;
  fetchReply @10;
  commitAck @11;
}

struct Message {
  kind @0 :Kind;
  diskId @1 :UInt64;        # of the sender
  nextInstance @2 :UInt64;  # number of the sender's committed entry plus one; 0: it has none
  instance @3 :UInt64;      # number of the entry that the message is about
  nonce @4 :UInt64;
  ballot @5 :Ballot;
  otherBallot @6 :Ballot;
  hasAcceptedEntry @7 :Bool;
  entry @8 :LogEntry;
}

# The texts of the entries are stored under separate keys, so that each is written only once.
struct StateHeader {
  diskId @0 :UInt64;
  sequence @1 :UInt64;
  committed @2 :LogEntry;
  committedText @3 :TextReference;
  promisedBallot @4 :Ballot;
  acceptedBallot @5 :Ballot;
  acceptedEntry @6 :LogEntry;
  acceptedText @7 :TextReference;
}

struct TextReference {
  slot @0 :UInt64;  # 0: the text is empty
  size @1 :UInt64;
  low @2 :UInt64;   # of the 128-bit XXH3 hash of the text
  high @3 :UInt64;
}
