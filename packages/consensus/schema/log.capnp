@0xc5f1d7a8e2b3964d;
# Messages between the nodes of the replicated log. src/message.h documents the fields.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("persimmon::consensus::schema");

struct Entry {
  index @0 :UInt64;
  term @1 :UInt64;
  kind @2 :UInt8;
  payload @3 :Data;
}

struct Message {
  kind @0 :UInt8;
  from @1 :UInt32;
  to @2 :UInt32;
  term @3 :UInt64;
  index @4 :UInt64;
  logTerm @5 :UInt64;
  commit @6 :UInt64;
  hint @7 :UInt64;
  stamp @8 :UInt64;
  disk @9 :UInt64;
  preVote @10 :Bool;
  granted @11 :Bool;
  transfer @12 :Bool;
  rejoining @13 :Bool;
  offset @14 :UInt64;
  total @15 :UInt64;
  data @16 :Data;
  voters @17 :List(UInt32);
  entries @18 :List(Entry);
}
