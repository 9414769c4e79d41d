@0xd1a3a7c0f2b94e61;
# Messages between entries and agents; mustardquay.messages documents them.
# A frame on a link is a four-byte big-endian length, followed by one Batch.

struct Header {
  name @0 :Text;
  value @1 :Text;
}

struct Hello {
  process @0 :Text;
  incarnation @1 :UInt64;
  availabilityZone @2 :Text;
  nonce @3 :Data;
  proof @4 :Data;
  # Number that the entry process gave the link, from 1; higher for each new link.
  link @5 :UInt64;
}

struct CrashId {
  upstream @0 :Text;
  boot @1 :Text;
}

struct CrashRecord {
  fingerprint @0 :UInt64;
  crashes @1 :List(CrashId);
  cleared @2 :List(CrashId);
  remaining @3 :UInt64;
}

struct Attempt {
  stream @0 :UInt64;
  request @1 :Text;
  number @2 :UInt32;
  incarnation @3 :UInt64;
  customer @4 :Text;
  model @5 :Text;
  adapter @6 :Text;
  method @7 :Text;
  path @8 :Text;
  headers @9 :List(Header);
  body @10 :Data;
  promptTokens @11 :UInt32;
  outputTokens @12 :UInt32;
  share @13 :Float64;
  priority @14 :UInt8;
  startWithin @15 :UInt64;
  finishWithin @16 :UInt64;
  prefix @17 :List(UInt64);
  fingerprint @18 :UInt64;
  repeatable @19 :Bool;
  streamed @20 :Bool;
  version @21 :UInt64;
  cachedTokens @22 :UInt32;
  betweenTokens @23 :UInt64;
  claim @24 :Data;
}

struct Reattach {
  stream @0 :UInt64;
  request @1 :Text;
  number @2 :UInt32;
  incarnation @3 :UInt64;
  have @4 :UInt32;
}

struct Credit {
  stream @0 :UInt64;
  size @1 :UInt64;
}

struct Started {
  stream @0 :UInt64;
  index @1 :UInt32;
}

struct Head {
  stream @0 :UInt64;
  index @1 :UInt32;
  status @2 :UInt16;
  headers @3 :List(Header);
}

struct Chunks {
  # Consecutive chunks of any streams. Each list has one element per chunk, and data
  # holds the data of all chunks in order. Reading a list costs less than reading as
  # many structures, and streamed tokens are most of the traffic.
  streams @0 :List(UInt64);
  indexes @1 :List(UInt32);
  tokens @2 :List(UInt32);
  sizes @3 :List(UInt32);
  data @4 :Data;
}

struct Refused {
  stream @0 :UInt64;
  index @1 :UInt32;
  reason @2 :Text;
  message @3 :Text;
  retryAfter @4 :Int64 = -1;
}

struct Failed {
  stream @0 :UInt64;
  index @1 :UInt32;
  kind @2 :Text;
  message @3 :Text;
}

struct Heartbeat {
  version @0 :UInt64;
  confirmed @1 :Bool;
  draining @2 :Bool;
  ready @3 :Bool;
  role @4 :Text;
  models @5 :List(Text);
  adapters @6 :List(Text);
  queuedTokens @7 :UInt64;
  waiting @8 :UInt32;
  running @9 :UInt32;
  prefillRate @10 :Float64;
  decodeRate @11 :Float64;
  crashes @12 :List(CrashRecord);
  upstream @13 :Text;
  concurrency @14 :UInt32;
  agents @15 :UInt32;
  queuedTokensWithin @16 :UInt64;
}

struct CacheEvent {
  number @0 :UInt64;
  stored @1 :Bool;
  piece @2 :UInt64;
}

struct CacheEvents {
  boot @0 :Text;
  oldest @1 :UInt64;
  events @2 :List(CacheEvent);
}

struct Frame {
  union {
    hello @0 :Hello;
    attempt @1 :Attempt;
    reattach @2 :Reattach;
    cancel @3 :UInt64;
    credit @4 :Credit;
    started @5 :Started;
    head @6 :Head;
    chunks @7 :Chunks;
    done @8 :Started;
    refused @9 :Refused;
    failed @10 :Failed;
    heartbeat @11 :Heartbeat;
    configurationEntries @12 :List(Data);
    configurationWanted @13 :UInt64;
    cacheEvents @14 :CacheEvents;
    orderChanged @15 :Void;
  }
}

struct Batch {
  # Counted from 0 on each link; a gap means that frames were lost or forged.
  sequence @0 :UInt64;
  # The sender's hybrid logical clock.
  physical @1 :UInt64;
  logical @2 :UInt32;
  frames @3 :List(Frame);
}
