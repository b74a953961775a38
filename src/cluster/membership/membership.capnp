@0xc325fb70143f11ae;
# Datagrams between members of a cluster. Each datagram is a checksum (XXH32 of the rest, little endian)
# followed by one Packet in packed encoding. New fields get new ordinals, and the default of a new field must
# mean what versions without the field do.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("shaletray::membership::wire");

struct Location {
  zone @0 :Text;
  region @1 :Text;
}

struct Entry {    # one member, as the sender knows it
  ip @0 :UInt32;                # IPv4 in host order; 0: see address
  port @1 :UInt16;
  role @2 :UInt8;
  state @3 :UInt8;
  incarnation @4 :UInt64;
  version @5 :UInt32;           # of the member's information within this incarnation
  quotaDivisor @6 :UInt32;
  diskId @7 :UInt64;
  location @8 :UInt16;          # index into Packet.locations, from 1; 0: none
  brief @9 :Bool;               # only state, quotaDivisor and diskId are set
  voterEligible @10 :Bool;
  address @11 :Text;
  name @12 :Text;
  controlAddress @13 :Text;
  unheard @14 :Bool;            # state is Suspect, and the sender presumes the member dead for its silence
}

struct Packet {
  kind @0 :UInt8;
  wantsInfo @1 :Bool;           # the sender requests the receiver's full entry
  joined @2 :Bool;              # the sender has joined
  fromController @3 :Bool;
  lastPage @4 :Bool;            # SyncPage: this is the last page
  requestMore @5 :Bool;         # SyncPage: the receiver must request the pages after this one
  memberCount @6 :UInt16;       # number of members that the sender does not consider dead
  sequenceNumber @7 :UInt32;    # a reply repeats that of its request
  incarnation @8 :UInt64;       # of the sender; likewise version, heartbeat and digest
  version @9 :UInt32;
  heartbeat @10 :UInt8;         # counter from 1 to 255, advanced in each probe round
  digest @11 :UInt64;           # over the members that the sender knows, with incarnations and versions
  target @12 :Text;             # PingRequest, relayed Ack: address of the probed member
  entries @13 :List(Entry);
  locations @14 :List(Location);
  orderedHeartbeats @15 :Data;       # of all members in the digest, ordered by address, for receivers with
                                     # the same digest; 0: none received lately
  heartbeatHashes @16 :List(UInt32); # for receivers with another digest: hashes of address and incarnation
                                     # of some members,
  hashedHeartbeats @20 :Data;        # and their heartbeats
  verifySuspicions @21 :Bool;   # the suspicions are old: the receiver probes instead of adopting them
  digestBuckets @17 :List(UInt64);   # SyncRequest: digests of the table's buckets; empty: all members
  afterAddress @18 :Text;       # SyncRequest, SyncPage: the page starts with the next address after this
  upToAddress @19 :Text;        # SyncPage: the last address of the page
}
