@0xb7e21c5a9d3f4408;
# Datagrams between gateways; mustardquay.peer_digests says what they mean.

struct Crash {
  upstream @0 :Text;
  boot @1 :Text;
}

struct CrashRecord {
  fingerprint @0 :UInt64;
  crashes @1 :List(Crash);
  cleared @2 :List(Crash);
  remainingMilliseconds @3 :UInt32;
}

struct PoolSpeeds {
  service @0 :Text;
  samples @1 :Float32;
  # Coefficients in seconds, as mustardquay.engine_models orders them.
  read @2 :List(Float32);
  first @3 :List(Float32);
}

struct RateLimit {
  upstream @0 :Text;
  perSecond @1 :Float32;
  ageMilliseconds @2 :UInt32;
}

struct ServiceDemand {
  service @0 :Text;
  perSecond @1 :Float32;
}

# Lists of numbers in place of lists of structs: these take ten times as long to read
# in this language, and there are hundreds of datagrams a second.
struct Digest {
  # A datagram of another layout can't be read.
  layout @0 :UInt16;
  gateway @1 :Text;
  incarnation @2 :UInt64;
  # Rises by one with each datagram of an incarnation.
  number @3 :UInt64;
  configuration @4 :UInt64;
  engines @5 :List(Text);
  # Ranks at which there is work, and for each engine its microseconds at each of them.
  ranks @6 :List(UInt8);
  readMicroseconds @7 :List(UInt32);
  # Generations that run, by engine.
  running @8 :List(UInt16);
  # Parts of prompts that engines have begun to read; engines by position in the list.
  placedEngines @9 :List(UInt16);
  placedParts @10 :List(UInt64);
  placedTokens @11 :List(UInt32);
  # Engines that the sender has ordered to change their stage.
  changing @12 :List(Text);
  crashes @13 :List(CrashRecord);
  speeds @14 :List(PoolSpeeds);
  availabilityZone @15 :Text;
  ready @16 :Bool;
  # For a gateway that stops: the time that it has at most.
  stopping @17 :Bool;
  endsInMilliseconds @18 :UInt32;
  limits @19 :List(RateLimit);
  # Whether the sender knows of a limit, so that its demands count.
  tellsDemands @20 :Bool;
  demands @21 :List(ServiceDemand);
}
