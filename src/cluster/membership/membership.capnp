@0xc325fb70143f11ae;
# What members of the convoy say to each other; each datagram is a sum of what follows (XXH32,
# little endian) and one Packet, packed. New fields get new numbers, and what they mean when they are missing
# is what the older version did.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("shaletray::membership::wire");

struct Place {
  zone @0 :Text;
  region @1 :Text;
}

struct Entry {    # what is known of a member
  ip @0 :UInt32;             # 0: see address
  port @1 :UInt16;
  role @2 :UInt8;
  state @3 :UInt8;
  life @4 :UInt64;
  version @5 :UInt32;        # of this life's facts
  counts @6 :UInt32;
  disk @7 :UInt64;
  place @8 :UInt16;          # in Packet.places, from 1; 0: none
  brief @9 :Bool;            # only state, counts and disk are told
  quorum @10 :Bool;
  address @11 :Text;
  name @12 :Text;
  control @13 :Text;
  unheard @14 :Bool;         # with state Suspected: for so long that the sender takes it for Gone
}

struct Packet {
  kind @0 :UInt8;
  who @1 :Bool;              # the receiver's facts are wanted
  joined @2 :Bool;           # of the sender
  lighthouse @3 :Bool;
  last @4 :Bool;             # Page: nothing comes after it
  more @5 :Bool;             # Page: ask for what comes after it
  members @6 :UInt16;        # that the sender knows and that are not gone
  number @7 :UInt32;         # an answer repeats it
  life @8 :UInt64;           # of the sender, as is what follows
  version @9 :UInt32;
  beat @10 :UInt8;           # 1 to 255, the next one with each of its rounds
  digest @11 :UInt64;        # of all members, lives and versions it knows
  about @12 :Text;           # PingFor, Answer: the address of a third
  entries @13 :List(Entry);
  places @14 :List(Place);
  row @15 :Data;             # the last beats known, 0: none lately; of all that make up the sum, in the order
                             # of their addresses, for those with the same sum
  hashes @16 :List(UInt32);  # for the others, of some: of address and life, and
  beats @20 :Data;           # their beats
  check @21 :Bool;           # the suspicions in it are old: to be looked at, not believed
  buckets @17 :List(UInt64); # Ask: digests by parts; empty: everything is wanted
  after @18 :Text;           # Ask, Page: from which address on
  next @19 :Text;            # Page: up to which
}
